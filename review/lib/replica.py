"""Stand-in of a replica."""

import asyncio
import contextlib
import hashlib
import random
import time
from collections.abc import Callable
from typing import Any

from lib.http import Request, encode_reply, read_request
from lib.store import ENTRY_PREFIX, Store

RECORD_BYTES = 16
N_RECORDS = 60
IDLE_TIMEOUT_S = 10
HEARTBEAT_S = 1.2


def expected_body(service: str, request_id: str) -> bytes:
    """Return the records that a service answers to a request."""
    text = f"{service} {request_id}".encode()
    return hashlib.shake_256(text).digest(RECORD_BYTES * N_RECORDS)


class Replica:
    """Serve one service; `n_slots` requests at once, `n_queued` more wait.

    `on_event` gets the name of an event, the replica and the request. `crashes_on`
    tells whether a request crashes the process that begins to run it.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        on_event: Callable[[str, "Replica", Request], None],
        *,
        work_s: float = 0.01,
        n_slots: int = 2,
        n_queued: int = 12,
        max_connections: int = 50,
        idle_timeout_s: int = IDLE_TIMEOUT_S,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.on_event = on_event
        self.work_s = work_s
        self.n_slots = n_slots
        self.n_queued = n_queued
        self.max_connections = max_connections
        self.idle_timeout_s = idle_timeout_s
        self.crashes_on: Callable[[Request], bool] = lambda request: False
        self.on_crash: Callable[[Replica], None] = lambda replica: None
        self.address = ""
        self.state = "ready"
        self.born_ms = 0
        self.sequence = 0
        self.is_up = False
        self.n_accepted = 0
        self._slots = asyncio.Semaphore(n_slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start a new process under the name, at the address of the one before."""
        host, _, port = (self.address or "127.0.0.1:0").rpartition(":")
        self.n_accepted = 0
        self._slots = asyncio.Semaphore(self.n_slots)
        self._server = await asyncio.start_server(self._serve, host, int(port))
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_up = True

    async def register(self, store: Store) -> None:
        """Write the entry in the store."""
        self.sequence += 1
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "max_concurrency": self.n_slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        await store.put(f"{ENTRY_PREFIX}{self.name}", entry)

    def crash(self) -> None:
        """End the process: stop listening and close all connections."""
        if not self.is_up:
            return
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        self.on_crash(self)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._writers) >= self.max_connections or not self.is_up:
            writer.transport.abort()
            return
        self._writers.add(writer)
        watcher: asyncio.Task | None = None
        try:
            while True:
                async with asyncio.timeout(self.idle_timeout_s):
                    request = await read_request(reader)
                work = asyncio.get_running_loop().create_task(self._run(request))
                self._tasks.add(work)
                work.add_done_callback(self._tasks.discard)
                # The gateway sends nothing more before the answer, so bytes or an end
                # show that it has closed the connection.
                watcher = asyncio.get_running_loop().create_task(reader.read(1))
                await asyncio.wait({work, watcher}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    self.on_event("dropped", self, request)
                    return
                answer = work.result()
                if answer is None or not self.is_up:
                    return
                watcher.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await watcher
                    # The gateway has closed the connection just now.
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            return
        finally:
            if watcher is not None:
                watcher.cancel()
            self._writers.discard(writer)
            writer.transport.abort()

    async def _run(self, request: Request) -> bytes | None:
        """Return the answer to a request, or None if the process has crashed."""
        request_id = request.headers.get("request-id", "")
        echo = {
            "Request-Id": request_id,
            "Keep-Alive": f"timeout={self.idle_timeout_s}",
        }
        if request.headers.get("expected-instance", self.name) != self.name:
            return encode_reply(421, {**echo, "Instance-Id": self.name})
        self.on_event("arrived", self, request)
        if self.n_accepted >= self.n_slots + self.n_queued:
            return encode_reply(503, {**echo, "Not-Executed": "1"})
        self.n_accepted += 1
        try:
            async with self._slots:
                self.on_event("ran", self, request)
                if self.crashes_on(request):
                    self.crash()
                    return None
                deadline_s = float(request.headers.get("deadline-ms", 60_000)) / 1000
                stamp = f"{self.service}.{request_id}.{self.name}"
                echo["Server-Stamp"] = stamp
                work_s = self.work_s * random.uniform(0.5, 1.5)
                if deadline_s < work_s:
                    await asyncio.sleep(deadline_s)
                    return encode_reply(504, echo)
                await asyncio.sleep(work_s)
        finally:
            self.n_accepted -= 1
        return encode_reply(200, echo, expected_body(self.service, request_id))

    async def beat(self, store: Store) -> None:
        """Write the entry again at each heartbeat, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_up:
                await self.register(store)
