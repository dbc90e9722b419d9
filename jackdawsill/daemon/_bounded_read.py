"""Bounded reading of HTTP bodies."""

import aiohttp


async def read_limited(resp: aiohttp.ClientResponse, n_max: int) -> bytes | None:
    """Read a body; return None if it is over `n_max` bytes."""
    length = resp.content_length
    if length is not None:
        return await resp.read() if length <= n_max else None
    chunks = []
    n_bytes = 0
    async for chunk in resp.content.iter_any():
        n_bytes += len(chunk)
        if n_bytes > n_max:
            return None
        chunks.append(chunk)
    return b"".join(chunks)
