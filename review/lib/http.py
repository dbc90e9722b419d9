"""HTTP/1.1 messages of the stand-ins, with bodies framed by Content-Length."""

import asyncio
from dataclasses import dataclass, field


@dataclass(slots=True)
class Request:
    """A complete request; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""


@dataclass(slots=True)
class Reply:
    """A reply; status 0 if the connection ended before a complete one."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return first line, headers and body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request of a connection."""
    first, headers, body = await _read_message(reader)
    method, target, _ = first.split(" ")
    return Request(method, target, headers, body)


def encode_reply(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a reply."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(
    address: str,
    target: str,
    headers: dict[str, str],
    *,
    method: str = "GET",
    body: bytes = b"",
    timeout_s: float = 15.0,
) -> Reply:
    """Send a request over a new connection and return the reply."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, reply_headers, reply_body = await _read_message(reader)
            return Reply(int(first.split(" ")[1]), reply_headers, reply_body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Reply()
    finally:
        if writer is not None:
            writer.transport.abort()
