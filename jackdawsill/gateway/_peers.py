"""Exchange of what the store said with peers, for hosts that cannot reach it."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from jackdawsill.gateway import _log_events as log_events
from jackdawsill.gateway._store import StoreSnapshot
from jackdawsill.http1 import keep_alive_probes

ASK_TIMEOUT_S = 1.0
LENGTH_BYTES = 4
MAX_MESSAGE_BYTES = 8 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class NewsRequest:
    """Ask for anything newer than a version and a revision."""

    version: int
    revision: int


@dataclass(slots=True, frozen=True)
class News:
    """What a peer knows; None if it knows nothing newer."""

    snapshot: StoreSnapshot | None


_FAULTS = (OSError, EOFError, TimeoutError, ValueError, msgspec.MsgspecError)
_encoder = msgspec.msgpack.Encoder()
_read_request = msgspec.msgpack.Decoder(NewsRequest)
_read_news = msgspec.msgpack.Decoder(News)

KnowsNewer = Callable[[int, int], StoreSnapshot | None]


async def _read_message(reader: asyncio.StreamReader) -> bytes:
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES))
    if length > MAX_MESSAGE_BYTES:
        raise ValueError("the message is over the bound")
    return await reader.readexactly(length)


def _frame(message: object) -> bytes:
    data = _encoder.encode(message)
    return len(data).to_bytes(LENGTH_BYTES) + data


class PeerNews:
    """Answer peers that ask, and ask the seeds."""

    def __init__(
        self,
        seeds: tuple[str, ...],
        known: KnowsNewer,
        rng: random.Random,
        log: Callable[..., None],
    ) -> None:
        self.seeds = seeds
        self.known = known
        self.rng = rng
        self.log = log
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for peers."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def ask(self, version: int, revision: int) -> StoreSnapshot | None:
        """Return the first newer snapshot that a seed has, or None."""
        seeds = list(self.seeds)
        self.rng.shuffle(seeds)
        for seed in seeds:
            try:
                async with asyncio.timeout(ASK_TIMEOUT_S):
                    snapshot = await self._ask_one(seed, version, revision)
            except _FAULTS as exc:
                # A seed may be stale, down or cut off; the next one may answer.
                self.log(log_events.PEER_SILENT, peer=seed, detail=repr(exc))
                continue
            if snapshot is not None:
                return snapshot
        return None

    async def _ask_one(
        self, seed: str, version: int, revision: int
    ) -> StoreSnapshot | None:
        host, _, port = seed.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(_frame(NewsRequest(version, revision)))
            return _read_news.decode(await _read_message(reader)).snapshot
        finally:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        keep_alive_probes(writer.get_extra_info("socket"))
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                req = _read_request.decode(await _read_message(reader))
                writer.write(_frame(News(self.known(req.version, req.revision))))
                await writer.drain()
        except _FAULTS as exc:
            # The asking peer repeats its question; it has lost nothing.
            peer = str(writer.get_extra_info("peername"))
            self.log(log_events.PEER_SILENT, peer=peer, detail=repr(exc))
        finally:
            writer.close()
