"""Messages of the configuration spread between hosts."""

from dataclasses import dataclass

from jackdawsill.peers import PeerMessage, register_message

# With the fields around the data a message stays under 64 KB.
CHUNK_BYTES = 63 * 1024


@register_message("GenerationNotice")
@dataclass(slots=True, frozen=True)
class GenerationNotice(PeerMessage):
    """The sender accepted a generation."""

    generation: int
    digest: str


@register_message("ManifestRequest")
@dataclass(slots=True, frozen=True)
class ManifestRequest(PeerMessage):
    """Ask for part of the manifest of a generation."""

    generation: int
    digest: str
    offset: int


@register_message("ManifestReply")
@dataclass(slots=True, frozen=True)
class ManifestReply(PeerMessage):
    """Part of a manifest; `size` is 0 if the sender does not hold it."""

    generation: int
    digest: str
    offset: int
    size: int
    data: bytes


@register_message("ValueRequest")
@dataclass(slots=True, frozen=True)
class ValueRequest(PeerMessage):
    """Ask for part of a value."""

    sha256: str
    offset: int


@register_message("ValueChunk")
@dataclass(slots=True, frozen=True)
class ValueChunk(PeerMessage):
    """Part of a value; `size` is 0 if the sender does not hold it."""

    sha256: str
    offset: int
    size: int
    data: bytes
