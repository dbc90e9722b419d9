"""Answers to peers that pull the accepted set."""

from jackdawsill.core import Effect, SendPeer
from jackdawsill.spread._messages import (
    CHUNK_BYTES,
    GenerationNotice,
    ManifestReply,
    ManifestRequest,
    ValueChunk,
    ValueRequest,
)
from jackdawsill.spread._spread import ConfigSync


def manifest_part(spread: ConfigSync, request: ManifestRequest) -> ManifestReply:
    """Return part of the accepted manifest."""
    held = (request.generation, request.digest) == (spread.generation_, spread.digest_)
    whole = spread.manifest_bytes_ if held and request.offset >= 0 else b""
    data = whole[request.offset : request.offset + CHUNK_BYTES]
    return ManifestReply(
        request.generation, request.digest, request.offset, len(whole), data
    )


def value_part(spread: ConfigSync, request: ValueRequest) -> ValueChunk:
    """Return part of a value of the accepted set."""
    whole = spread.values_.get(request.sha256, b"") if request.offset >= 0 else b""
    data = whole[request.offset : request.offset + CHUNK_BYTES]
    return ValueChunk(request.sha256, request.offset, len(whole), data)


def repair(spread: ConfigSync, link_id: int, generation: int) -> list[Effect]:
    """Return a notice for a peer whose generation is lower."""
    if generation >= spread.generation_:
        return []
    return [SendPeer(link_id, GenerationNotice(spread.generation_, spread.digest_))]
