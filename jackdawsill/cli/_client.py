"""HTTP requests to the operator ports of hosts."""

import asyncio
import ipaddress
import json
import re
from dataclasses import dataclass
from typing import Any

import aiohttp

from jackdawsill.cli._errors import BadArgument, BadHostAnswer, HostUnreachable
from jackdawsill.exceptions import JackdawsillError

DEFAULT_OPERATOR_PORT = 8081
DEFAULT_TIMEOUT_S = 5.0

# Maximum size of an answer, which limits the memory that it takes.
MAX_ANSWER_BYTES = 16_777_216

_CHUNK_BYTES = 65_536
_HOST = re.compile(r"(?:\[(?P<v6>[^\[\]]+)\]|(?P<v4>[^:\[\]]+))(?::(?P<port>\d{1,5}))?")


@dataclass(slots=True, frozen=True)
class HostAnswer:
    """Decoded answer of one host, or the error that it failed with."""

    host: str
    answer: Any = None
    error: JackdawsillError | None = None


def normalize_host(text: str) -> str:
    """Return `address:operator_port` for an IP address with an optional port.

    Raise BadArgument for other text.
    """
    # IPv6 addresses need brackets, and IPv4 addresses must not have them.
    match = _HOST.fullmatch(text)
    try:
        if match is None:
            raise ValueError
        address = ipaddress.ip_address(match["v6"] or match["v4"])
        port = int(match["port"] or DEFAULT_OPERATOR_PORT)
        if not 1 <= port <= 65_535 or (address.version == 6) != bool(match["v6"]):
            raise ValueError
    except ValueError:
        message = f"{text!r} is not an IP address with an optional port"
        raise BadArgument(message) from None
    return f"[{address}]:{port}" if match["v6"] else f"{address}:{port}"


def _refusal(host: str, status: int, body: Any) -> BadHostAnswer:
    """Return the error for an answer with a status other than 200."""
    error = body.get("error") if isinstance(body, dict) else None
    if isinstance(error, dict):
        detail = f"{error.get('code', '')} {error.get('message', '')}".strip()
    else:
        detail = "no reason given"
    return BadHostAnswer(f"{host}: status {status}: {detail}")


async def _fetch(session: aiohttp.ClientSession, host: str, path: str) -> Any:
    """Return the decoded answer of one host.

    Raise HostUnreachable if no complete response arrives, and BadHostAnswer if it is an
    error, too large or not JSON.
    """
    data = bytearray()
    try:
        url = f"http://{host}{path}"
        async with session.get(url, allow_redirects=False) as response:
            status = response.status
            async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
                data += chunk
                if len(data) > MAX_ANSWER_BYTES:
                    message = f"{host}: answer is larger than {MAX_ANSWER_BYTES} bytes"
                    raise BadHostAnswer(message)
    except TimeoutError:
        raise HostUnreachable(f"{host}: no answer in time") from None
    except (aiohttp.ClientError, OSError) as exc:
        detail = getattr(exc, "strerror", None) or exc
        raise HostUnreachable(f"{host}: {detail}") from None
    try:
        body = json.loads(data)
    except (ValueError, RecursionError):
        if status == 200:
            raise BadHostAnswer(f"{host}: answer is not JSON") from None
        body = None
    if status != 200:
        raise _refusal(host, status, body)
    return body


async def _fetch_one(
    session: aiohttp.ClientSession, host: str, path: str
) -> HostAnswer:
    try:
        return HostAnswer(host, await _fetch(session, host, path))
    except JackdawsillError as exc:
        return HostAnswer(host, error=exc)


async def fetch_from_hosts(
    hosts: list[str], path: str, timeout_s: float
) -> list[HostAnswer]:
    """Fetch `path` from all hosts concurrently; keep the order of `hosts`."""
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        return await asyncio.gather(*(_fetch_one(session, h, path) for h in hosts))
