"""Readers of the configuration service and of the platform's host list."""

import asyncio
from urllib.parse import quote

import aiohttp
import msgspec

from jackdawsill.core import (
    ConfigRead,
    ConfigReadFailed,
    HostEntry,
    HostListRead,
    ReadConfig,
    ReadHostList,
)
from jackdawsill.daemon._bodies import read_limited
from jackdawsill.daemon._log_events import HOST_LIST_BACK, HOST_LIST_FAILED
from jackdawsill.runtime import Driver

MAX_VALUE_BYTES = 1024 * 1024
# A list entry takes about 150 bytes; 4 MB hold over 20,000 hosts.
MAX_HOST_LIST_BYTES = 4 * 1024 * 1024
# The service answers in milliseconds; a read without answer for this long, beyond
# its own waiting time, counts as failed.
READ_TIMEOUT_S = 2.0
MAX_VERSION_CHARS = 128

_HOSTS = msgspec.json.Decoder(tuple[HostEntry, ...])

_FAULTS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class PlatformReader:
    """Carry out `ReadConfig` and `ReadHostList`; nothing is ever written."""

    def __init__(self, driver: Driver, config_url: str, host_list_url: str) -> None:
        self.driver = driver
        self.config_url = config_url.rstrip("/")
        self.host_list_url = host_list_url  # of the list itself
        self._list_failing = False
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Open the client; needs a running loop."""
        self._session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
        )

    async def stop(self) -> None:
        """Drop all reads and close the connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    def read_config(self, effect: ReadConfig) -> None:
        """Begin to read a key."""
        self._spawn(self._read_config(effect))

    def read_host_list(self, effect: ReadHostList) -> None:
        """Begin to read the host list."""
        self._spawn(self._read_host_list())

    def _spawn(self, coro) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read_config(self, effect: ReadConfig) -> None:
        """Read one key and feed its event."""
        params = {}
        if effect.wait_s > 0:
            params = {"wait_s": f"{effect.wait_s:g}", "version": effect.version}
        url = f"{self.config_url}/v1/keys/{quote(effect.key, safe='')}"
        try:
            status, version, value = await self._get(
                url, params, effect.wait_s + READ_TIMEOUT_S, MAX_VALUE_BYTES
            )
        except _FAULTS as exc:
            self.driver.feed(ConfigReadFailed(effect.key, repr(exc)[:200]))
            return
        if status == 200 and value is None:
            detail = f"value over {MAX_VALUE_BYTES} bytes"
            self.driver.feed(ConfigReadFailed(effect.key, detail))
        elif status == 200:
            self.driver.feed(ConfigRead(effect.key, value, version))
        elif status == 404:
            self.driver.feed(ConfigRead(effect.key, None, version))
        else:
            self.driver.feed(ConfigReadFailed(effect.key, f"status {status}"))

    async def _read_host_list(self) -> None:
        """Read the host list and feed its event; a failed read is only logged."""
        try:
            status, _, body = await self._get(
                self.host_list_url, {}, READ_TIMEOUT_S, MAX_HOST_LIST_BYTES
            )
            if status != 200 or body is None:
                raise ValueError(f"status {status}")
            entries = _HOSTS.decode(body)
        except (*_FAULTS, msgspec.DecodeError, RecursionError) as exc:
            # Only changes are logged, since the list may be away for long.
            if not self._list_failing:
                self.driver.log(HOST_LIST_FAILED, detail=repr(exc)[:200])
            self._list_failing = True
            return
        if self._list_failing:
            self.driver.log(HOST_LIST_BACK)
        self._list_failing = False
        self.driver.feed(HostListRead(entries))

    async def _get(
        self, url: str, params: dict[str, str], timeout_s: float, n_max: int
    ) -> tuple[int, str, bytes | None]:
        """Return status, version and bounded body."""
        assert self._session is not None
        async with (
            asyncio.timeout(timeout_s),
            self._session.get(url, params=params, allow_redirects=False) as resp,
        ):
            version = resp.headers.get("X-Version", "")[:MAX_VERSION_CHARS]
            body = await read_limited(resp, n_max)
            if body is None:
                resp.close()
            return resp.status, version, body
