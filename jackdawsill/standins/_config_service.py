"""Stand-in for the configuration service, which hosts can only read and watch."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp import web

from jackdawsill.standins._listener import Listener

MAX_VALUE_BYTES = 1024 * 1024
READS_PER_S = 2000.0
MAX_WAIT_S = 60.0


@dataclass(slots=True, frozen=True)
class _Value:
    """A published value with its version."""

    data: bytes
    version: int


class ConfigService:
    """Serve keys over HTTP; only `publish` changes them.

    A read with `wait_s` waits until the version differs from `version` and then
    answers with the current value, changed or not.
    """

    def __init__(self, reads_per_s: float = READS_PER_S) -> None:
        self.listener = Listener(self._handle)
        self.reads_per_s = reads_per_s
        self.down = False  # closes connections without an answer
        self.n_reads_ = 0
        self.n_limited_ = 0
        self._values: dict[str, _Value] = {}
        self._stale: dict[str, _Value] | None = None
        self._n_published = 0
        self._changed = asyncio.Event()
        self._tokens = reads_per_s
        self._tokens_at_s = 0.0

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self.listener.url

    async def start(self) -> None:
        """Listen; a restart uses the same port again."""
        await self.listener.start()

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        await self.listener.stop()

    def publish(self, values: Mapping[str, bytes]) -> None:
        """Set values in their order, as an operator's own tool does."""
        for key, data in values.items():
            if len(data) > MAX_VALUE_BYTES:
                raise ValueError(f"value of {key} takes {len(data)} bytes")
            self._n_published += 1
            self._values[key] = _Value(data, self._n_published)
        if self._stale is None:
            self._wake()

    def freeze(self) -> None:
        """Become stale: serve the present values until `thaw`."""
        self._stale = dict(self._values)

    def unfreeze(self) -> None:
        """Serve the newest values again."""
        self._stale = None
        self._wake()

    def _wake(self) -> None:
        """Wake the reads that wait."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _take_token(self) -> bool:
        """Count a read against the rate limit of the service."""
        now = asyncio.get_running_loop().time()
        earned = (now - self._tokens_at_s) * self.reads_per_s
        self._tokens = min(self.reads_per_s, self._tokens + earned)
        self._tokens_at_s = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one read."""
        prefix, key = request.path[:9], request.path[9:]
        if prefix != "/v1/keys/" or not key:
            return web.Response(status=404)
        if request.method != "GET":
            return web.Response(status=405)
        if self.down:
            assert request.transport is not None
            request.transport.abort()
            return web.Response(status=500)
        self.n_reads_ += 1
        if not self._take_token():
            self.n_limited_ += 1
            return web.Response(status=429)
        try:
            wait_s = min(MAX_WAIT_S, float(request.query.get("wait_s", "0")))
        except ValueError:
            return web.Response(status=400)
        known = request.query.get("version", "")
        if wait_s > 0:
            await self._wait(key, known, wait_s)
        value = self._current(key)
        if value is None:
            return web.Response(status=404)
        return web.Response(
            body=value.data,
            headers={"X-Version": str(value.version)},
            content_type="application/octet-stream",
        )

    def _current(self, key: str) -> _Value | None:
        """Return what readers see."""
        values = self._values if self._stale is None else self._stale
        return values.get(key)

    async def _wait(self, key: str, known: str, wait_s: float) -> None:
        """Wait until the version of a key differs from `known`."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while (left_s := until - loop.time()) > 0:
            value = self._current(key)
            if ("" if value is None else str(value.version)) != known:
                return
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                return
