"""Messages of the configuration spread between hosts."""

from jackdawsill.peers import PeerMessage, register_message

# With the fields around the data a message stays under 64 KB.
CHUNK_BYTES = 63 * 1024


@register_message("GenerationNotice")
class GenerationNotice(PeerMessage):
    """The sender accepted a generation."""

    generation: int
    digest: str


@register_message("ManifestRequest")
class ManifestRequest(PeerMessage):
    """Ask for part of the manifest of a generation."""

    generation: int
    digest: str
    offset: int


@register_message("ManifestReply")
class ManifestReply(PeerMessage):
    """Part of a manifest; `size` is 0 if the sender does not hold it."""

    generation: int
    digest: str
    offset: int
    size: int
    data: bytes


@register_message("ValueRequest")
class ValueRequest(PeerMessage):
    """Ask for part of a value."""

    sha256: str
    offset: int


@register_message("ValueChunk")
class ValueChunk(PeerMessage):
    """Part of a value; `size` is 0 if the sender does not hold it."""

    sha256: str
    offset: int
    size: int
    data: bytes
