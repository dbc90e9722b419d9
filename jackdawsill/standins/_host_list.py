"""Stand-in for the platform's list of hosts, which shows changes with a lag."""

import asyncio
from collections.abc import Iterable

import msgspec
from aiohttp import web

from jackdawsill.core import HostEntry
from jackdawsill.standins._listener import Listener

HOSTS_PATH = "/v1/hosts"


class HostList:
    """Serve the list as it was `lag_s` ago.

    While `frozen`, the list changes only when `catch_up` is called. While `down`,
    connections are reset without a response.
    """

    def __init__(self, lag_s: float = 0.0) -> None:
        self.listener = Listener(self._handle)
        self.lag_s = lag_s
        self.down = False
        self.frozen = False
        self.n_reads_ = 0
        self._visible_list: tuple[HostEntry, ...] = ()
        self._pending_lists: list[tuple[float, tuple[HostEntry, ...]]] = []

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
        """Replace the list; readers get it after the lag."""
        visible_at = asyncio.get_running_loop().time() + self.lag_s
        self._pending_lists.append((visible_at, tuple(entries)))

    def catch_up(self) -> None:
        """Serve the newest list from now on, without the lag."""
        if self._pending_lists:
            self._visible_list = self._pending_lists[-1][1]
            self._pending_lists.clear()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one read."""
        if request.path != HOSTS_PATH:
            return web.Response(status=404)
        if self.down:
            assert request.transport is not None
            request.transport.abort()
            return web.Response(status=500)
        self.n_reads_ += 1
        now = asyncio.get_running_loop().time()
        while (
            not self.frozen and self._pending_lists and self._pending_lists[0][0] <= now
        ):
            self._visible_list = self._pending_lists.pop(0)[1]
        return web.json_response(
            [msgspec.structs.asdict(entry) for entry in self._visible_list]
        )
