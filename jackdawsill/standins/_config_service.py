"""Stand-in for the configuration service; hosts can only read and watch it."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp import web

from jackdawsill.standins._listener import Listener

MAX_VALUE_BYTES = 1024 * 1024
READS_PER_S = 2000.0  # default rate limit of all readers together
MAX_WAIT_S = 60.0  # longest wait of a read


@dataclass(slots=True, frozen=True)
class _Value:
    """Published value with its version."""

    data: bytes
    version: int


class ConfigService:
    """Serve keys over HTTP; only `publish` changes them.

    A read with query parameter `wait_s` waits until the version of the key differs
    from parameter `version`, and returns the value then, or at the end of the wait.
    Reads above `reads_per_s` get status 429.
    """

    def __init__(self, reads_per_s: float = READS_PER_S) -> None:
        self.listener = Listener(self._handle)
        self.reads_per_s = reads_per_s
        self.down = False  # if true, resets connections without a response
        self.n_reads_ = 0
        self.n_limited_ = 0
        self._values: dict[str, _Value] = {}
        self._frozen_values: dict[str, _Value] | None = None
        self._n_published = 0
        self._changed = asyncio.Event()
        self._tokens = reads_per_s
        self._refilled_at = 0.0

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
        """Set values in the order of the mapping; each write gets a higher version.

        Raise ValueError for a value over MAX_VALUE_BYTES.
        """
        for key, data in values.items():
            if len(data) > MAX_VALUE_BYTES:
                raise ValueError(f"value of {key} takes {len(data)} bytes")
            self._n_published += 1
            self._values[key] = _Value(data, self._n_published)
        if self._frozen_values is None:
            self._wake_waiting_reads()

    def freeze(self) -> None:
        """Serve the current values until `unfreeze`, whatever is published."""
        self._frozen_values = dict(self._values)

    def unfreeze(self) -> None:
        """Serve the newest values again."""
        self._frozen_values = None
        self._wake_waiting_reads()

    def _wake_waiting_reads(self) -> None:
        """Wake all waiting reads."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _take_token(self) -> bool:
        """Take a token of the rate limit; return False if none is left."""
        now = asyncio.get_running_loop().time()
        refill = (now - self._refilled_at) * self.reads_per_s
        self._tokens = min(self.reads_per_s, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one read."""
        # 9 is the length of the prefix "/v1/keys/".
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
        known_version = request.query.get("version", "")
        if wait_s > 0:
            await self._wait_for_change(key, known_version, wait_s)
        value = self._current(key)
        if value is None:
            return web.Response(status=404)
        return web.Response(
            body=value.data,
            headers={"X-Version": str(value.version)},
            content_type="application/octet-stream",
        )

    def _current(self, key: str) -> _Value | None:
        """Return the value that readers get, frozen or not."""
        values = self._values if self._frozen_values is None else self._frozen_values
        return values.get(key)

    async def _wait_for_change(
        self, key: str, known_version: str, wait_s: float
    ) -> None:
        """Wait until the version of a key differs from `known_version`."""
        loop = asyncio.get_running_loop()
        wait_ends_at = loop.time() + wait_s
        while (remaining_s := wait_ends_at - loop.time()) > 0:
            value = self._current(key)
            if ("" if value is None else str(value.version)) != known_version:
                return
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                return
