"""Reading of HTTP bodies up to a size limit."""

import aiohttp


async def read_limited(resp: aiohttp.ClientResponse, max_bytes: int) -> bytes | None:
    """Read a body; return None if it is over `max_bytes`."""
    length = resp.content_length
    if length is not None:
        return await resp.read() if length <= max_bytes else None
    chunks = []
    n_bytes = 0
    async for chunk in resp.content.iter_any():
        n_bytes += len(chunk)
        if n_bytes > max_bytes:
            return None
        chunks.append(chunk)
    return b"".join(chunks)
