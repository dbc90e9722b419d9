"""Client that sends sub-requests to backend servers over pooled connections."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextvars import ContextVar

import aiohttp
import msgspec
from yarl import URL

from jackdawsill.core import (
    CancelSub,
    FailureKind,
    SendSub,
    SubAnswered,
    SubFailed,
)
from jackdawsill.daemon._backend_answers import check_answer, classify_error_response
from jackdawsill.daemon._bounded_read import read_limited

SubOutcome = SubAnswered | SubFailed

MAX_ANSWER_BYTES = 1024 * 1024
READ_BUFFER_BYTES = 128 * 1024
# Subtracted from the deadline sent to backend servers, to leave time for the return of
# the answer (at most 1.5 ms between failure domains) and its check and merge.
DEADLINE_MARGIN_S = 0.003
# Idle timeout of pooled connections. It must be shorter than that of backend servers
# (usually 5 s or more), because a request is lost if the server closes the connection
# while it is sent.
BACKEND_IDLE_TIMEOUT_S = 4.0
# Time for a backend server to answer a cancelled or late sub-request, so that its
# connection can be reused. After it, the connection is closed.
CANCEL_GRACE_S = 1.0

_current_sub: ContextVar["_Sub | None"] = ContextVar("current_sub", default=None)


class _Pool:
    """Connection pool of one backend server.

    `n_used` of at most `n_max` connections are in use; other sub-requests wait.
    """

    __slots__ = (
        "base_url",
        "n_max",
        "n_peak",
        "n_surplus",
        "n_used",
        "urls",
        "waiting",
    )

    def __init__(self, address: str) -> None:
        self.base_url = f"http://{address}"
        self.n_max = 1
        self.n_used = 0
        self.n_peak = 0  # upper bound of the open connections
        self.n_surplus = 0  # connections to close because the limit fell
        self.waiting: deque[_Sub] = deque()
        self.urls: dict[str, URL] = {}

    def set_limit(self, n_max: int) -> None:
        """Set the limit; surplus connections are closed after their next use."""
        if n_max == self.n_max:
            return
        self.n_max = n_max
        self.n_surplus = max(0, self.n_peak - n_max)

    def acquire(self) -> None:
        """Count one more connection in use."""
        self.n_used += 1
        if self.n_used > self.n_peak:
            self.n_peak = self.n_used

    def claim_surplus(self) -> bool:
        """Return whether this connection is surplus and must be closed after its use.

        If so, it is no longer counted as surplus or open.
        """
        if not self.n_surplus:
            return False
        self.n_surplus -= 1
        self.n_peak -= 1
        return True

    def shard_url(self, shard: str) -> URL:
        """Return the cached URL of a shard; parsing costs more than a lookup."""
        url = self.urls.get(shard)
        if url is None:
            url = self.urls[shard] = URL(self.base_url) / "v1" / "shard" / shard
        return url


class _Sub:
    """State of one sub-request, from its effect to its event."""

    __slots__ = (
        "cancelled",
        "deadline_at",
        "deadline_handle",
        "done",
        "effect",
        "pool",
        "sent",
        "started",
        "task",
        "wire_id",
    )

    def __init__(
        self, effect: SendSub, pool: _Pool, wire_id: str, deadline_at: float
    ) -> None:
        self.effect = effect
        self.pool = pool
        # X-Request-Id sent to the backend server. It is unique for each sub-request, so
        # that a cancel hits only this one.
        self.wire_id = wire_id
        self.deadline_at = deadline_at  # event loop time
        self.cancelled = False
        self.done = False  # its event was passed to `on_outcome`
        self.sent = False  # bytes may have been sent
        self.started = False  # its task has begun to run
        self.task: asyncio.Task | None = None
        self.deadline_handle: asyncio.TimerHandle | None = None


class _Connector(aiohttp.TCPConnector):
    """Connector that marks a sub-request as sent when it gets a connection."""

    def __init__(self) -> None:
        # `_Pool` limits the connections of each replica, so the connector does not.
        super().__init__(
            limit=0, keepalive_timeout=BACKEND_IDLE_TIMEOUT_S, use_dns_cache=False
        )

    async def connect(self, req, traces, timeout):
        """Return a connection, unless the deadline has passed."""
        conn = await super().connect(req, traces, timeout)
        sub = _current_sub.get()
        if sub is None:
            return conn
        if asyncio.get_running_loop().time() >= sub.deadline_at:
            # After a process pause this may run before the deadline timer. Nothing may
            # be sent after the deadline.
            conn.release()
            raise TimeoutError("the deadline passed before the send")
        sub.sent = True
        return conn


class BackendClient:
    """Carry out `SendSub` and `CancelSub`.

    `on_outcome` is called exactly once for each sub-request, unless `stop` drops it.
    """

    def __init__(
        self,
        on_outcome: Callable[[SendSub, SubOutcome], None],
        id_prefix: str,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self.on_outcome = on_outcome
        self.max_answer_bytes = max_answer_bytes
        self.id_prefix = id_prefix  # makes wire ids unique among processes
        self.n_cancels_unsent_ = 0
        self._subs: dict[int, _Sub] = {}
        self._pools: dict[str, _Pool] = {}
        self._cancels: set[asyncio.Task] = set()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._session: aiohttp.ClientSession | None = None

    def __len__(self) -> int:
        """Return the number of unfinished sub-requests."""
        return len(self._subs)

    async def start(self) -> None:
        """Open the HTTP session; needs a running loop."""
        self._loop = asyncio.get_running_loop()
        self._session = aiohttp.ClientSession(
            connector=_Connector(),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            headers={"Content-Type": "application/json"},
            read_bufsize=READ_BUFFER_BYTES,
        )

    async def stop(self) -> None:
        """Drop all sub-requests without an event and close all connections."""
        tasks = [sub.task for sub in self._subs.values() if sub.task is not None]
        for sub in self._subs.values():
            sub.done = True
            if sub.deadline_handle is not None:
                sub.deadline_handle.cancel()
        self._subs.clear()
        tasks.extend(self._cancels)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    def send(self, effect: SendSub) -> None:
        """Send a sub-request, or queue it until a connection is free."""
        assert self._loop is not None
        pool = self._pools.get(effect.address)
        if pool is None:
            pool = self._pools[effect.address] = _Pool(effect.address)
        if effect.repeatable:
            pool.set_limit(max(1, effect.n_connections_max))
        else:
            # Non-repeatable requests, which carry tickets, have no connection share
            # of their own. They must not lower the limit that queries have set.
            pool.set_limit(max(pool.n_max, effect.n_connections_max))
        wire_id = f"{effect.request_id}.{self.id_prefix}{effect.sub_id}"
        deadline_at = self._loop.time() + effect.timeout_s
        sub = _Sub(effect, pool, wire_id, deadline_at)
        self._subs[effect.sub_id] = sub
        sub.deadline_handle = self._loop.call_later(
            max(0.0, effect.timeout_s), self._on_deadline, sub
        )
        if pool.n_used < pool.n_max:
            self._start_sub(sub)
        else:
            pool.waiting.append(sub)

    def cancel(self, effect: CancelSub) -> None:
        """Cancel a sub-request; one still waiting for a connection ends at once."""
        sub = self._subs.get(effect.sub_id)
        if sub is None or sub.cancelled:
            return
        sub.cancelled = True
        if sub.task is None:
            self._finish(sub, SubFailed(effect.sub_id, FailureKind.CANCELLED))
        else:
            self._send_cancel(sub)

    def _start_sub(self, sub: _Sub) -> None:
        """Run a sub-request on a connection of its pool."""
        assert self._loop is not None
        sub.pool.acquire()
        sub.task = self._loop.create_task(self._run(sub))

    def _release(self, pool: _Pool) -> None:
        """Free a connection and start waiting sub-requests."""
        pool.n_used -= 1
        while pool.waiting and pool.n_used < pool.n_max:
            sub = pool.waiting.popleft()
            if not sub.done:
                self._start_sub(sub)

    def _finish(self, sub: _Sub, outcome: SubOutcome) -> None:
        """Pass the outcome of a sub-request to `on_outcome`, once."""
        if sub.done:
            return
        sub.done = True
        self._subs.pop(sub.effect.sub_id, None)
        if sub.deadline_handle is not None:
            sub.deadline_handle.cancel()
        self.on_outcome(sub.effect, outcome)

    def _on_deadline(self, sub: _Sub) -> None:
        """Fail an unanswered sub-request and cancel it at the backend server."""
        if sub.done:
            return
        kind = FailureKind.TIMEOUT if sub.sent else FailureKind.CONNECT
        task = sub.task
        if task is not None and not sub.sent:
            # Still connecting: cancelling the task keeps the request unsent. A task
            # that has not started returns by itself, because `done` is set below.
            if sub.started:
                task.cancel()
        elif task is not None:
            assert self._loop is not None
            self._loop.call_later(CANCEL_GRACE_S, task.cancel)
            if not sub.cancelled:
                sub.cancelled = True
                self._send_cancel(sub)
        self._finish(sub, SubFailed(sub.effect.sub_id, kind, detail="deadline"))

    def _send_cancel(self, sub: _Sub) -> None:
        """Send a cancel request if the pool has a free connection."""
        assert self._loop is not None
        pool = sub.pool
        if pool.n_used >= pool.n_max:
            # A cancel that waits for a connection usually comes too late, and one
            # outside the pool would exceed the replica's connection cap.
            self.n_cancels_unsent_ += 1
            return
        pool.acquire()
        task = self._loop.create_task(self._run_cancel(sub))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def _run_cancel(self, sub: _Sub) -> None:
        """Post one cancel request and ignore its result."""
        assert self._session is not None
        url = URL(sub.pool.base_url) / "v1" / "cancel" / sub.wire_id
        _current_sub.set(None)
        try:
            async with asyncio.timeout(CANCEL_GRACE_S):
                async with self._session.post(url) as resp:
                    await resp.read()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            pass
        finally:
            self._release(sub.pool)

    async def _run(self, sub: _Sub) -> None:
        """Run one sub-request and report its outcome."""
        sub.started = True
        if sub.done:
            self._release(sub.pool)
            return
        _current_sub.set(sub)
        outcome: SubOutcome
        try:
            outcome = await self._exchange(sub)
        except asyncio.CancelledError:
            self._release(sub.pool)
            raise
        except Exception as exc:
            outcome = self._classify_error(sub, exc)
        self._release(sub.pool)
        self._finish(sub, outcome)

    async def _exchange(self, sub: _Sub) -> SubOutcome:
        """Post the sub-request and return its checked answer or failure."""
        assert self._session is not None and self._loop is not None
        effect = sub.effect
        left_s = sub.deadline_at - self._loop.time() - DEADLINE_MARGIN_S
        headers = {
            "X-Request-Id": sub.wire_id,
            "X-Snapshot": effect.snapshot,
            "X-Deadline-Ms": str(max(1, int(left_s * 1000))),
        }
        if sub.pool.claim_surplus():
            headers["Connection"] = "close"
        resp = await self._session.post(
            sub.pool.shard_url(effect.shard),
            data=effect.body,
            headers=headers,
            allow_redirects=False,
        )
        try:
            body = await read_limited(resp, self.max_answer_bytes)
        except (aiohttp.ClientError, OSError) as exc:
            resp.close()
            detail = f"truncated: {exc!r}"[:200]
            return SubFailed(effect.sub_id, FailureKind.BAD_ANSWER, detail=detail)
        if body is None:
            resp.close()
            detail = f"answer over {self.max_answer_bytes} bytes"
            return SubFailed(effect.sub_id, FailureKind.BAD_ANSWER, detail=detail)
        draining = "X-Draining" in resp.headers
        if resp.status == 200:
            return check_answer(effect, sub.wire_id, body, draining)
        x_refusal = resp.headers.get("X-Refusal", "")
        failure = classify_error_response(
            effect, resp.status, x_refusal, body, sub.cancelled
        )
        return msgspec.structs.replace(failure, draining=draining)

    def _classify_error(self, sub: _Sub, exc: Exception) -> SubFailed:
        """Return the failure for an exception during the exchange.

        Kinds that mean "not run" need proof that no byte was sent. A reused
        connection that the server closed before its response is no such proof.
        """
        sub_id, detail = sub.effect.sub_id, repr(exc)[:200]
        if not sub.sent:
            return SubFailed(sub_id, FailureKind.CONNECT, detail=detail)
        if isinstance(exc, (aiohttp.ClientConnectionError, OSError)):
            return SubFailed(sub_id, FailureKind.CRASH, detail=detail)
        return SubFailed(sub_id, FailureKind.BAD_ANSWER, detail=detail)
