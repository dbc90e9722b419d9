"""Reader of the configuration service and the platform's host list."""

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
from jackdawsill.daemon._bounded_read import read_limited
from jackdawsill.daemon._log_events import (
    HOST_ENTRY_INVALID,
    HOST_LIST_BACK,
    HOST_LIST_FAILED,
)
from jackdawsill.runtime import Driver

MAX_VALUE_BYTES = 1024 * 1024
# Limit of the host list, to bound memory. An entry takes about 150 bytes, so 4 MB hold
# over 20,000 hosts.
MAX_HOST_LIST_BYTES = 4 * 1024 * 1024
# Timeout of a read, in addition to its `wait_s`. The service answers in milliseconds.
READ_TIMEOUT_S = 2.0
MAX_VERSION_CHARS = 128

_HOST_LIST_DECODER = msgspec.json.Decoder(tuple[msgspec.Raw, ...])
_HOST_DECODER = msgspec.json.Decoder(HostEntry)

_READ_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class PlatformReader:
    """Carry out `ReadConfig` and `ReadHostList`; it never writes to the platform."""

    def __init__(self, driver: Driver, config_url: str, host_list_url: str) -> None:
        self.driver = driver
        self.config_url = config_url.rstrip("/")
        self.host_list_url = host_list_url  # full URL, used without a path appended
        self._list_failing = False
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Open the HTTP session; needs a running loop."""
        self._session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
        )

    async def stop(self) -> None:
        """Cancel all reads and close the connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    def read_config(self, effect: ReadConfig) -> None:
        """Start to read a key; the result is fed as an event."""
        self._spawn(self._read_config(effect))

    def read_host_list(self, effect: ReadHostList) -> None:
        """Start to read the host list; the result is fed as an event."""
        self._spawn(self._read_host_list())

    def _spawn(self, coro) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read_config(self, effect: ReadConfig) -> None:
        """Read one key and feed `ConfigRead` or `ConfigReadFailed`."""
        params = {}
        if effect.wait_s > 0:
            params = {"wait_s": f"{effect.wait_s:g}", "version": effect.version}
        url = f"{self.config_url}/v1/keys/{quote(effect.key, safe='')}"
        try:
            status, version, value = await self._get(
                url, params, effect.wait_s + READ_TIMEOUT_S, MAX_VALUE_BYTES
            )
        except _READ_ERRORS as exc:
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
        """Read the host list and feed `HostListRead`; a failed read is only logged."""
        try:
            status, _, body = await self._get(
                self.host_list_url, {}, READ_TIMEOUT_S, MAX_HOST_LIST_BYTES
            )
            if status != 200:
                raise ValueError(f"status {status}")
            if body is None:
                raise ValueError(f"host list over {MAX_HOST_LIST_BYTES} bytes")
            entries = self._decode_entries(_HOST_LIST_DECODER.decode(body))
        except (*_READ_ERRORS, msgspec.DecodeError, RecursionError) as exc:
            # Logs only the first of consecutive failures; an outage may last long.
            if not self._list_failing:
                self.driver.log(HOST_LIST_FAILED, detail=repr(exc)[:200])
            self._list_failing = True
            return
        if self._list_failing:
            self.driver.log(HOST_LIST_BACK)
        self._list_failing = False
        self.driver.feed(HostListRead(entries))

    def _decode_entries(self, items: tuple[msgspec.Raw, ...]) -> tuple[HostEntry, ...]:
        """Return the valid entries; raise ValueError if there are only odd ones."""
        entries = []
        for item in items:
            try:
                entries.append(_HOST_DECODER.decode(item))
            except (msgspec.DecodeError, RecursionError) as exc:
                self.driver.log(HOST_ENTRY_INVALID, detail=repr(exc)[:200])
        if items and not entries:
            raise ValueError("no entry of the host list is valid")
        return tuple(entries)

    async def _get(
        self, url: str, params: dict[str, str], timeout_s: float, max_bytes: int
    ) -> tuple[int, str, bytes | None]:
        """Return status, version and body; the body is None if it is too large."""
        assert self._session is not None
        async with (
            asyncio.timeout(timeout_s),
            self._session.get(url, params=params, allow_redirects=False) as resp,
        ):
            version = resp.headers.get("X-Version", "")[:MAX_VERSION_CHARS]
            body = await read_limited(resp, max_bytes)
            if body is None:
                resp.close()
            return resp.status, version, body
