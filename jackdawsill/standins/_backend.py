"""Scripted stand-in for a backend server."""

import asyncio
import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from aiohttp import web

from jackdawsill.standins._listener import Listener

OVERSIZED_BYTES = 2 * 1024 * 1024  # above the default `max_answer_bytes`


class WrongAnswer(StrEnum):
    """Kinds of invalid answers that a backend server can give."""

    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    OTHER_SNAPSHOT = "other_snapshot"
    OTHER_REQUEST = "other_request"
    OTHER_SHARD = "other_shard"
    NOT_JSON = "not_json"


def default_items(shard: str, snapshot: str, body: dict[str, Any]) -> list[dict]:
    """Return one item of class `public` whose id contains the shard."""
    return [{"id": f"{shard}-1", "class": "public", "snapshot": snapshot}]


@dataclass(slots=True)
class BackendScript:
    """Behaviour of a backend server; fields may be changed while it runs."""

    n_slots: int = 2
    n_queue_max: int = 64  # waiting sub-requests above this are shed
    max_connections: int = 200
    connect_ms: float = 0.0  # added to the first request of each connection
    median_ms: float = 0.0  # of the service time; at 0 sub-requests end at once
    sigma: float = 0.3  # of the lognormal distribution of service times
    straggler_fraction: float = 0.0
    straggler_factor: float = 10.0
    n_cold: int = 0  # the first n_cold sub-requests take cold_factor times as long
    cold_factor: float = 5.0
    starting: bool = False  # refuses sub-requests as not started yet
    shed: bool = False  # sheds every sub-request
    shed_fraction: float = 0.0  # of the sub-requests, at random
    draining: bool = False  # refuses new sub-requests
    leaving: bool = False  # accepts sub-requests and sends the X-Draining header
    servable: frozenset[str] | None = None  # None for every snapshot
    poison: bytes = b""  # a body that contains it crashes the server
    wrong: WrongAnswer | None = None  # kind of invalid answer to all sub-requests
    healthy: bool = True  # response of /health, whatever the state
    reported_running: int | None = None  # response of /load; None for the real number
    in_band_load: bool = True  # answers include the load
    items: Callable[[str, str, dict], list[dict]] = (
        default_items  # makes an answer's items
    )


@dataclass(slots=True, frozen=True)
class Run:
    """One sub-request that was run."""

    request_id: str
    shard: str
    snapshot: str
    body: bytes


class BackendServer:
    """Answer sub-requests on loopback as scripted; what it records ends in `_`."""

    def __init__(
        self, script: BackendScript | None = None, rng: random.Random | None = None
    ) -> None:
        self.script = script or BackendScript()
        self.rng = rng or random.Random(0)
        self.listener = Listener(self._handle)
        self.n_arrived_ = 0  # sub-requests, including refused ones
        self.n_running_ = 0
        self.n_run_ = 0  # started so far
        self.n_cancelled_ = 0  # while running; not those that waited
        self.n_crashes_ = 0
        self.runs_: deque[Run] = deque(maxlen=10_000)  # the last that started
        self.deadlines_ms_: deque[int] = deque(maxlen=100)  # of the last accepted
        # If given, sub-requests run until it is set instead of for the service time.
        self.gate: asyncio.Event | None = None
        self.run_started = asyncio.Event()  # set when a sub-request starts
        # Futures of waiting sub-requests, oldest first; done when a slot is passed on.
        self._waiting: deque[asyncio.Future] = deque()
        # Futures of waiting and running sub-requests by request id.
        self._cancellable: dict[str, asyncio.Future] = {}

    @property
    def address(self) -> str:
        """Return ip:port."""
        return self.listener.address

    async def start(self) -> None:
        """Listen; a restart uses the same port again."""
        await self.listener.start()

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        await self.listener.stop()

    def crash(self) -> None:
        """Simulate a crash: stop listening, reset connections and drop all work."""
        self.n_crashes_ += 1
        self.listener.crash()
        for fut in [*self._waiting, *self._cancellable.values()]:
            if not fut.done():
                fut.cancel()
        self._waiting.clear()
        self._cancellable.clear()
        self.n_running_ = 0

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Dispatch a request by its path."""
        parts = request.path.split("/")
        if request.method == "POST" and parts[:2] == ["", "v1"] and len(parts) == 4:
            body = await request.read()
            await self._connect_delay(request)
            if parts[2] == "shard":
                return await self._shard(request, parts[3], body)
            if parts[2] == "cancel":
                return self._cancel(parts[3])
        if request.path == "/health":
            return web.Response(status=200 if self.script.healthy else 503)
        if request.path == "/load":
            reported = self.script.reported_running
            running = self.n_running_ if reported is None else reported
            return web.json_response({"running": running, "slots": self.script.n_slots})
        return web.Response(status=404)

    async def _connect_delay(self, request: web.BaseRequest) -> None:
        """Delay the first request of a connection by the scripted connect time."""
        server, transport = self.listener.server_, request.transport
        if self.script.connect_ms <= 0 or server is None or transport is None:
            return
        if transport not in server.served_transports_:
            server.served_transports_.add(transport)
            await asyncio.sleep(self.script.connect_ms / 1000.0)

    def _refusal_response(self, reason: str, *, close: bool = False) -> web.Response:
        """Return a 503 with X-Refusal, which means that the sub-request was not run."""
        response = web.Response(status=503, headers={"X-Refusal": reason})
        if close:
            response.force_close()
        return response

    def _scripted_refusal(
        self, request: web.BaseRequest, snapshot: str
    ) -> web.Response | None:
        """Return the refusal for a sub-request, or None if it is accepted."""
        script = self.script
        server = self.listener.server_
        # Connections beyond the cap are refused, the newest first.
        if (
            server is not None
            and len(server.transports_) > script.max_connections
            and server.n_older(request.transport) >= script.max_connections
        ):
            return self._refusal_response("connections", close=True)
        if script.starting:
            return self._refusal_response("starting")
        if script.draining:
            return self._refusal_response("draining", close=True)
        if script.servable is not None and snapshot not in script.servable:
            return web.json_response({"servable": sorted(script.servable)}, status=409)
        shed = script.shed or len(self._waiting) >= script.n_queue_max
        if shed or (script.shed_fraction and self.rng.random() < script.shed_fraction):
            return web.Response(status=429)
        return None

    async def _shard(
        self, request: web.BaseRequest, shard: str, body: bytes
    ) -> web.StreamResponse:
        """Refuse a sub-request, or run it when a slot is free and answer."""
        script = self.script
        request_id = request.headers.get("X-Request-Id", "")
        snapshot = request.headers.get("X-Snapshot", "")
        self.n_arrived_ += 1
        refusal = self._scripted_refusal(request, snapshot)
        if refusal is not None:
            if script.leaving:
                refusal.headers["X-Draining"] = "1"
            return refusal
        loop = asyncio.get_running_loop()
        self.deadlines_ms_.append(int(request.headers.get("X-Deadline-Ms", "0")))
        if self.n_running_ >= script.n_slots:
            slot_granted = loop.create_future()
            self._waiting.append(slot_granted)
            self._cancellable[request_id] = slot_granted
            try:
                await slot_granted
            except asyncio.CancelledError:
                # 499 is used for a cancelled request, whose client does not read it.
                return web.Response(status=499)
        else:
            self.n_running_ += 1
        try:
            if script.poison and script.poison in body:
                self.crash()
                return web.Response(status=500)
            self.n_run_ += 1
            self.runs_.append(Run(request_id, shard, snapshot, body))
            self.run_started.set()
            if not await self._work(request_id):
                self.n_cancelled_ += 1
                return web.Response(status=499)
        finally:
            self._release_slot()
        return await self._respond(request, request_id, shard, snapshot, body)

    def _release_slot(self) -> None:
        """Pass the slot to the next waiting sub-request, or free it."""
        while self._waiting:
            slot_granted = self._waiting.popleft()
            if not slot_granted.done():
                slot_granted.set_result(None)
                return
        # After a crash it is 0 already.
        self.n_running_ = max(0, self.n_running_ - 1)

    async def _work(self, request_id: str) -> bool:
        """Wait for the service time or for `gate`; return False if cancelled."""
        delay_s = self._service_time_s()
        if delay_s <= 0 and self.gate is None:
            return True
        loop = asyncio.get_running_loop()
        done = loop.create_future()
        self._cancellable[request_id] = done
        if self.gate is not None:
            waiter = loop.create_task(self.gate.wait())
            waiter.add_done_callback(lambda _: done.done() or done.set_result(None))
        else:
            loop.call_later(delay_s, lambda: done.done() or done.set_result(None))
        try:
            await done
        except asyncio.CancelledError:
            return False
        finally:
            self._cancellable.pop(request_id, None)
        return True

    def _service_time_s(self) -> float:
        """Return a random service time from the scripted distribution."""
        script = self.script
        if script.median_ms <= 0:
            return 0.0
        ms = script.median_ms * self.rng.lognormvariate(0.0, script.sigma)
        if self.rng.random() < script.straggler_fraction:
            ms *= script.straggler_factor
        if self.n_run_ <= script.n_cold:
            ms *= script.cold_factor
        return ms / 1000.0

    def _cancel(self, request_id: str) -> web.Response:
        """Cancel a waiting or running sub-request; 404 if there is none."""
        fut = self._cancellable.get(request_id)
        if fut is None or fut.done():
            return web.Response(status=404)
        fut.cancel()
        return web.Response(status=200)

    async def _respond(
        self,
        request: web.BaseRequest,
        request_id: str,
        shard: str,
        snapshot: str,
        body: bytes,
    ) -> web.StreamResponse:
        """Return the answer, made invalid as scripted."""
        script = self.script
        payload: dict[str, Any] = {
            "request_id": request_id,
            "snapshot": snapshot,
            "shard": shard,
            "load": {"running": self.n_running_, "slots": script.n_slots},
            "items": script.items(shard, snapshot, json.loads(body or b"{}")),
        }
        if not script.in_band_load:
            del payload["load"]
        match script.wrong:
            case WrongAnswer.OTHER_SNAPSHOT:
                payload["snapshot"] += "-old"
            case WrongAnswer.OTHER_REQUEST:
                payload["request_id"] = "another"
            case WrongAnswer.OTHER_SHARD:
                payload["shard"] += "-other"
            case WrongAnswer.OVERSIZED:
                payload["items"] = [{"text": "x" * OVERSIZED_BYTES}]
        data = json.dumps(payload).encode()
        headers = {"Content-Type": "application/json"}
        if script.leaving or script.draining:
            headers["X-Draining"] = "1"
        if script.wrong is WrongAnswer.NOT_JSON:
            data = b"<html>"
        if script.wrong is WrongAnswer.TRUNCATED:
            headers["Content-Length"] = str(len(data))
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            await response.write(data[: len(data) // 2])
            assert request.transport is not None
            request.transport.close()
            return response
        return web.Response(body=data, headers=headers)
