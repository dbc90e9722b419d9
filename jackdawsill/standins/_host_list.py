"""Stand-in for the platform's list of hosts, which lags behind reality."""

import asyncio
from collections.abc import Iterable

import msgspec
from aiohttp import web

from jackdawsill.core import HostEntry
from jackdawsill.standins._listener import Listener

HOSTS_PATH = "/v1/hosts"


class HostList:
    """Serve the list as it was `lag_s` ago, or until `catch_up` if frozen."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self.listener = Listener(self._handle)
        self.lag_s = lag_s
        self.down = False
        self.frozen = False
        self.n_reads_ = 0
        self._shown: tuple[HostEntry, ...] = ()
        self._newer: list[tuple[float, tuple[HostEntry, ...]]] = []

    @property
    def url(self) -> str:
        """Return the URL of the list."""
        return f"{self.listener.url}{HOSTS_PATH}"

    async def start(self) -> None:
        """Listen; a restart uses the same port again."""
        await self.listener.start()

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        await self.listener.stop()

    def set_entries(self, entries: Iterable[HostEntry]) -> None:
        """Change the list; readers see it after the lag."""
        at_s = asyncio.get_running_loop().time() + self.lag_s
        self._newer.append((at_s, tuple(entries)))

    def catch_up(self) -> None:
        """Show the newest list now."""
        if self._newer:
            self._shown = self._newer[-1][1]
            self._newer.clear()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one read."""
        if request.path != HOSTS_PATH:
            return web.Response(status=404)
        if self.down:
            assert request.transport is not None
            request.transport.abort()
            return web.Response(status=500)
        self.n_reads_ += 1
        now = asyncio.get_running_loop().time()
        while not self.frozen and self._newer and self._newer[0][0] <= now:
            self._shown = self._newer.pop(0)[1]
        return web.json_response(
            [msgspec.structs.asdict(entry) for entry in self._shown]
        )
