"""Send sub-requests to backend servers over pooled HTTP connections."""

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
from jackdawsill.daemon._answers import check_answer, classify_refusal
from jackdawsill.daemon._bodies import read_limited

Outcome = SubAnswered | SubFailed

MAX_ANSWER_BYTES = 1024 * 1024
READ_BUFFER_BYTES = 128 * 1024
# Taken off the deadline passed to backend servers: the answer's way back, at most
# 1.5 ms between failure domains, and the time to check and merge it.
NETWORK_S = 0.003
# Idle connections are closed before usual servers close them (5 s and more), since a
# request that meets the server's close is lost.
KEEPALIVE_S = 4.0
# Time that a backend server has to answer a cancelled or late sub-request before its
# connection is given up.
CANCEL_GRACE_S = 1.0

_current: ContextVar["_Sub | None"] = ContextVar("current_sub", default=None)


class _Pool:
    """Sub-requests to one backend server; `n_used` connections are in use."""

    __slots__ = (
        "base_url",
        "n_excess",
        "n_max",
        "n_peak",
        "n_used",
        "urls",
        "waiting",
    )

    def __init__(self, address: str) -> None:
        self.base_url = f"http://{address}"
        self.n_max = 1
        self.n_used = 0
        self.n_peak = 0  # bounds the open connections from above
        self.n_excess = 0  # connections to close because the limit fell
        self.waiting: deque[_Sub] = deque()
        self.urls: dict[str, URL] = {}

    def set_limit(self, n_max: int) -> None:
        """Take a new limit; connections above it are closed after their next use."""
        if n_max == self.n_max:
            return
        self.n_max = n_max
        self.n_excess = max(0, self.n_peak - n_max)

    def take(self) -> None:
        """Count a connection in use."""
        self.n_used += 1
        if self.n_used > self.n_peak:
            self.n_peak = self.n_used

    def take_excess(self) -> bool:
        """Tell whether the connection about to be used is to be closed after it."""
        if not self.n_excess:
            return False
        self.n_excess -= 1
        self.n_peak -= 1
        return True

    def url(self, shard: str) -> URL:
        """Return the URL of a shard; parsing a URL costs more than a look-up."""
        url = self.urls.get(shard)
        if url is None:
            url = self.urls[shard] = URL(self.base_url) / "v1" / "shard" / shard
        return url


class _Sub:
    """One sub-request from its effect to its event."""

    __slots__ = (
        "at_s",
        "cancelled",
        "deadline_handle",
        "done",
        "effect",
        "pool",
        "sent",
        "started",
        "task",
        "wire_id",
    )

    def __init__(self, effect: SendSub, pool: _Pool, wire_id: str, at_s: float) -> None:
        self.effect = effect
        self.pool = pool
        self.wire_id = wire_id
        self.at_s = at_s  # loop time of the deadline
        self.cancelled = False
        self.done = False  # its event was given out
        self.sent = False  # bytes may have left
        self.started = False  # its task took its first step
        self.task: asyncio.Task | None = None
        self.deadline_handle: asyncio.TimerHandle | None = None


class _Connector(aiohttp.TCPConnector):
    """Connector that notes when a sub-request gets a connection."""

    def __init__(self) -> None:
        # The pools limit the connections of each replica; the connector must not.
        super().__init__(limit=0, keepalive_timeout=KEEPALIVE_S, use_dns_cache=False)

    async def connect(self, req, traces, timeout):
        """Return a connection; from here on bytes may leave."""
        conn = await super().connect(req, traces, timeout)
        sub = _current.get()
        if sub is None:
            return conn
        if asyncio.get_running_loop().time() >= sub.at_s:
            # A process that was paused while connecting wakes before its deadline
            # timer runs; what has not left yet must not leave after the deadline.
            conn.release()
            raise TimeoutError("the deadline passed before the send")
        sub.sent = True
        return conn


class BackendClient:
    """Carry out `SendSub` and `CancelSub`; each sub-request ends in one event."""

    def __init__(
        self,
        on_outcome: Callable[[SendSub, Outcome], None],
        tag: str,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self.on_outcome = on_outcome
        self.max_answer_bytes = max_answer_bytes
        self.tag = tag  # makes wire ids of this process unlike those of others
        self.n_cancels_unsent_ = 0
        self._subs: dict[int, _Sub] = {}
        self._pools: dict[str, _Pool] = {}
        self._cancels: set[asyncio.Task] = set()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._session: aiohttp.ClientSession | None = None

    def __len__(self) -> int:
        """Return how many sub-requests have not ended."""
        return len(self._subs)

    async def start(self) -> None:
        """Open the connection pool; needs a running loop."""
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
        """Drop all sub-requests without events and close all connections."""
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
        """Send a sub-request, or queue it until its replica has a free connection."""
        assert self._loop is not None
        pool = self._pools.get(effect.address)
        if pool is None:
            pool = self._pools[effect.address] = _Pool(effect.address)
        if effect.repeatable:
            pool.set_limit(max(1, effect.n_connections_max))
        else:
            # Tickets send without a share of their own; they must not lower the
            # share that queries were given.
            pool.set_limit(max(pool.n_max, effect.n_connections_max))
        wire_id = f"{effect.request_id}.{self.tag}{effect.sub_id}"
        at_s = self._loop.time() + effect.timeout_s
        sub = _Sub(effect, pool, wire_id, at_s)
        self._subs[effect.sub_id] = sub
        sub.deadline_handle = self._loop.call_later(
            max(0.0, effect.timeout_s), self._on_deadline, sub
        )
        if pool.n_used < pool.n_max:
            self._begin(sub)
        else:
            pool.waiting.append(sub)

    def cancel(self, effect: CancelSub) -> None:
        """Cancel a sub-request; one that waits for a connection ends at once."""
        sub = self._subs.get(effect.sub_id)
        if sub is None or sub.cancelled:
            return
        sub.cancelled = True
        if sub.task is None:
            self._finish(sub, SubFailed(effect.sub_id, FailureKind.CANCELLED))
        else:
            self._post_cancel(sub)

    def _begin(self, sub: _Sub) -> None:
        """Use a connection of the pool for a sub-request."""
        assert self._loop is not None
        sub.pool.take()
        sub.task = self._loop.create_task(self._run(sub))

    def _release(self, pool: _Pool) -> None:
        """Hand a freed connection to the sub-requests that wait."""
        pool.n_used -= 1
        while pool.waiting and pool.n_used < pool.n_max:
            sub = pool.waiting.popleft()
            if not sub.done:
                self._begin(sub)

    def _finish(self, sub: _Sub, outcome: Outcome) -> None:
        """Give out the one event of a sub-request."""
        if sub.done:
            return
        sub.done = True
        self._subs.pop(sub.effect.sub_id, None)
        if sub.deadline_handle is not None:
            sub.deadline_handle.cancel()
        self.on_outcome(sub.effect, outcome)

    def _on_deadline(self, sub: _Sub) -> None:
        """Fail a sub-request that has no answer; cancel it at the backend server."""
        if sub.done:
            return
        kind = FailureKind.TIMEOUT if sub.sent else FailureKind.CONNECT
        task = sub.task
        if task is not None and not sub.sent:
            # Still connecting: stopping the task here keeps the request unsent. A
            # task that has not started ends by itself, since `done` is set below.
            if sub.started:
                task.cancel()
        elif task is not None:
            assert self._loop is not None
            self._loop.call_later(CANCEL_GRACE_S, task.cancel)
            if not sub.cancelled:
                sub.cancelled = True
                self._post_cancel(sub)
        self._finish(sub, SubFailed(sub.effect.sub_id, kind, detail="deadline"))

    def _post_cancel(self, sub: _Sub) -> None:
        """Send the cancel message if the pool has a free connection for it."""
        assert self._loop is not None
        pool = sub.pool
        if pool.n_used >= pool.n_max:
            # A cancel that waits for a connection mostly comes too late, and one
            # outside the pool would break the replica's connection cap.
            self.n_cancels_unsent_ += 1
            return
        pool.take()
        task = self._loop.create_task(self._run_cancel(sub))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def _run_cancel(self, sub: _Sub) -> None:
        """Post one cancel message; its answer does not matter."""
        assert self._session is not None
        url = URL(sub.pool.base_url) / "v1" / "cancel" / sub.wire_id
        _current.set(None)
        try:
            async with asyncio.timeout(CANCEL_GRACE_S):
                async with self._session.post(url) as resp:
                    await resp.read()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            pass
        finally:
            self._release(sub.pool)

    async def _run(self, sub: _Sub) -> None:
        """Run one sub-request and give out its event."""
        sub.started = True
        if sub.done:
            self._release(sub.pool)
            return
        _current.set(sub)
        outcome: Outcome
        try:
            outcome = await self._exchange(sub)
        except asyncio.CancelledError:
            self._release(sub.pool)
            raise
        except Exception as exc:
            outcome = self._lost(sub, exc)
        self._release(sub.pool)
        self._finish(sub, outcome)

    async def _exchange(self, sub: _Sub) -> Outcome:
        """Post the sub-request and read its answer."""
        assert self._session is not None and self._loop is not None
        effect = sub.effect
        left_s = sub.at_s - self._loop.time() - NETWORK_S
        headers = {
            "X-Request-Id": sub.wire_id,
            "X-Snapshot": effect.snapshot,
            "X-Deadline-Ms": str(max(1, int(left_s * 1000))),
        }
        if sub.pool.take_excess():
            headers["Connection"] = "close"
        resp = await self._session.post(
            sub.pool.url(effect.shard),
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
        refusal = resp.headers.get("X-Refusal", "")
        failure = classify_refusal(effect, resp.status, refusal, body, sub.cancelled)
        return msgspec.structs.replace(failure, draining=draining)

    def _lost(self, sub: _Sub, exc: Exception) -> SubFailed:
        """Classify an exchange that ended without an answer.

        A kind that says "not run" needs proof that no byte left. A reused connection
        that the server closed before any byte of the answer is no such proof.
        """
        sub_id, detail = sub.effect.sub_id, repr(exc)[:200]
        if not sub.sent:
            return SubFailed(sub_id, FailureKind.CONNECT, detail=detail)
        if isinstance(exc, (aiohttp.ClientConnectionError, OSError)):
            return SubFailed(sub_id, FailureKind.CRASH, detail=detail)
        return SubFailed(sub_id, FailureKind.BAD_ANSWER, detail=detail)
