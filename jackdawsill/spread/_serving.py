"""Replies to peers that pull the accepted set."""

from jackdawsill.core import Effect, SendPeer
from jackdawsill.spread._config_sync import ConfigSync
from jackdawsill.spread._messages import (
    CHUNK_BYTES,
    GenerationNotice,
    ManifestReply,
    ManifestRequest,
    ValueChunk,
    ValueRequest,
)


def manifest_chunk(config_sync: ConfigSync, request: ManifestRequest) -> ManifestReply:
    """Return the requested chunk of the accepted manifest, or an empty reply."""
    is_accepted = (request.generation, request.digest) == (
        config_sync.generation_,
        config_sync.digest_,
    )
    whole = config_sync.manifest_bytes_ if is_accepted and request.offset >= 0 else b""
    data = whole[request.offset : request.offset + CHUNK_BYTES]
    return ManifestReply(
        request.generation, request.digest, request.offset, len(whole), data
    )


def value_chunk(config_sync: ConfigSync, request: ValueRequest) -> ValueChunk:
    """Return the requested chunk of a value in the accepted set, or an empty one."""
    whole = config_sync.values_.get(request.sha256, b"") if request.offset >= 0 else b""
    data = whole[request.offset : request.offset + CHUNK_BYTES]
    return ValueChunk(request.sha256, request.offset, len(whole), data)


def notice_if_peer_outdated(
    config_sync: ConfigSync, link_id: int, generation: int
) -> list[Effect]:
    """Return a notice if the peer's generation is lower than this host's."""
    if generation >= config_sync.generation_:
        return []
    return [
        SendPeer(
            link_id, GenerationNotice(config_sync.generation_, config_sync.digest_)
        )
    ]
