"""Peer messages of the configuration distribution."""

from jackdawsill.peers import PeerMessage, register_message

# Leaves room for the other fields in a message of at most 64 KB.
CHUNK_BYTES = 63 * 1024


@register_message("GenerationNotice")
class GenerationNotice(PeerMessage):
    """Announce the generation that the sender accepted."""

    generation: int
    digest: str


@register_message("ManifestRequest")
class ManifestRequest(PeerMessage):
    """Request the chunk of a manifest at `offset`."""

    generation: int
    digest: str
    offset: int


@register_message("ManifestReply")
class ManifestReply(PeerMessage):
    """Chunk of a manifest.

    `size` is that of the whole manifest in bytes, 0 if the sender does not have it.
    """

    generation: int
    digest: str
    offset: int
    size: int
    data: bytes


@register_message("ValueRequest")
class ValueRequest(PeerMessage):
    """Request the chunk of a value at `offset`."""

    sha256: str
    offset: int


@register_message("ValueChunk")
class ValueChunk(PeerMessage):
    """Chunk of a value.

    `size` is that of the whole value in bytes, 0 if the sender does not have it.
    """

    sha256: str
    offset: int
    size: int
    data: bytes
