"""Connections to replicas, and the attempts sent over them."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

import httptools

from jackdawsill.core import FailureKind
from jackdawsill.forwarding import (
    AbortAttempt,
    AttemptAnswered,
    AttemptFailed,
    DropReplica,
    ReplicaAnswer,
    SendAttempt,
    WarmReplicas,
)
from jackdawsill.http1._dialect import AttemptFault, BaseDialect
from jackdawsill.http1._sockets import keep_alive_probes

CONNECT_TIMEOUT_S = 0.25
# Idle connections are closed this much before the replica would, so that no request
# crosses its close.
IDLE_MARGIN_S = 1.0
# Idle time of a replica that states none.
IDLE_DEFAULT_S = 4.0
# A connection that was never used is kept until the replica closes it.
IDLE_UNUSED_S = 60.0
# A request that may run only once is sent over a connection that was used this
# shortly before, or over a new one: a replica may have dropped an older one without
# a sign, and a loss could then not be told from a run.
IDLE_ONCE_S = 0.5
SWEEP_S = 1.0
MAX_HEAD_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 4 * 1024 * 1024

OnEnd = Callable[[AttemptAnswered | AttemptFailed], None]
OnConnected = Callable[[str, float], None]


class _Connection(asyncio.Protocol):
    """One connection; it carries one attempt at a time."""

    __slots__ = (
        "body",
        "dirty",
        "framed",
        "head_done",
        "headers",
        "idle_since",
        "idle_until",
        "keep_s",
        "n_body",
        "parser",
        "pool",
        "send",
        "started",
        "status",
        "transport",
    )

    def __init__(self, pool: "_Pool") -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.send: SendAttempt | None = None
        self.idle_since = 0.0
        self.idle_until = 0.0
        self.keep_s = IDLE_UNUSED_S  # until the replica states its own
        self.dirty = False
        self.started = False  # bytes of a response were read for the current attempt
        self.parser = httptools.HttpResponseParser(self)
        self._reset()

    def _reset(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.n_body = 0
        self.status = 0
        self.framed = False
        self.head_done = False

    def connection_made(self, transport) -> None:
        """Watch for a peer that is gone without a sign."""
        self.transport = transport
        keep_alive_probes(transport.get_extra_info("socket"))

    def write(self, send: SendAttempt, data: bytes) -> None:
        """Send an attempt over this idle connection."""
        self.send = send
        self.started = False
        if self.keep_s == IDLE_UNUSED_S:
            self.keep_s = IDLE_DEFAULT_S
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse what the replica sent."""
        if self.send is None:
            # Bytes that no attempt waits for belong to no request.
            self.pool.discard(self)
            return
        self.started = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(FailureKind.BAD_ANSWER, "upgrade")
        except httptools.HttpParserError as exc:
            if self.send is None:
                self.pool.discard(self)
            else:
                self._fail(FailureKind.BAD_ANSWER, f"not HTTP: {exc}"[:120])

    def on_message_begin(self) -> None:
        """Begin a response; one without an attempt spoils the connection."""
        self._reset()
        if self.send is None:
            self.dirty = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note how the body ends."""
        self.head_done = True
        self.status = self.parser.get_status_code()
        for name, value in self.headers:
            key = name.lower()
            if key in (b"content-length", b"transfer-encoding"):
                self.framed = True
            elif key == b"keep-alive":
                self.keep_s = _keep_alive_s(value, self.keep_s)
        if self.status in (204, 304):
            self.framed = True
        if self.send is not None and self.send.req.method == b"HEAD":
            # The parser would wait for a body that never comes.
            self.dirty = True
            self.on_message_complete()

    def on_body(self, data: bytes) -> None:
        """Collect the body up to a bound."""
        self.n_body += len(data)
        if self.n_body > MAX_ANSWER_BYTES:
            raise ValueError("the answer is over the bound")
        self.body.append(data)

    def on_message_complete(self) -> None:
        """End the attempt, unless the response is of another request."""
        if self.status < 200:
            return
        send = self.send
        if send is None:
            self.dirty = True
            return
        headers = tuple(self.headers)
        if not self.pool.client.dialect.is_answer_to(send.req.request_id, headers):
            # A second answer to an earlier request of this connection.
            self.dirty = True
            return
        self._finish(headers)

    def _finish(self, headers) -> None:
        send = self.send
        body = b"".join(self.body)
        if send.is_delegated:
            result = ReplicaAnswer(self.status, headers, body)
        else:
            dialect = self.pool.client.dialect
            result = dialect.read_answer(self.status, headers, body)
        closes = not self.parser.should_keep_alive() or not self.framed
        # A request whose body is still being written cannot be followed by another.
        unsent = self.transport.get_write_buffer_size() > 0
        self.send = None
        self.dirty = self.dirty or closes or unsent
        if isinstance(result, AttemptFault):
            end = AttemptFailed(send.attempt_id, result.kind, result.detail)
            if result.kind is FailureKind.BAD_ANSWER:
                self.dirty = True
        else:
            end = AttemptAnswered(send.attempt_id, result)
        # After the parser has read the rest of the data, which may hold extra bytes.
        asyncio.get_running_loop().call_soon(self._release, send, end)

    def _release(self, send: SendAttempt, end: AttemptAnswered | AttemptFailed) -> None:
        """Free the connection first, so that what the end causes can use it."""
        self.pool.on_free(self)
        self.pool.client.end(send, end)

    def _fail(self, kind: FailureKind, detail: str) -> None:
        send, self.send = self.send, None
        self.pool.discard(self)
        if send is not None:
            end = AttemptFailed(send.attempt_id, kind, detail)
            self.pool.client.end(send, end)

    def eof_received(self) -> bool:
        """End a response that lasts until the end of the connection."""
        is_unframed = self.head_done and not self.framed and self.status >= 200
        if self.send is not None and is_unframed:
            headers = tuple(self.headers)
            if self.pool.client.dialect.is_answer_to(self.send.req.request_id, headers):
                self.dirty = True
                self._finish(headers)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the attempt; its request may have run."""
        self.dirty = True
        detail = "closed" if exc is None else type(exc).__name__
        if self.head_done and self.send is not None:
            self._fail(FailureKind.BAD_ANSWER, f"{detail} within the answer")
        else:
            self._fail(FailureKind.CRASH, detail)

    def close(self) -> None:
        """Close without waiting for anything."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.abort()


class _Pool:
    """Connections to one replica, and the attempts that wait for one."""

    __slots__ = (
        "address",
        "client",
        "connections",
        "idle",
        "n_opening",
        "replica",
        "waiting",
    )

    def __init__(self, client: "ReplicaClient", replica: str, address: str) -> None:
        self.client = client
        self.replica = replica
        self.address = address
        self.connections: set[_Connection] = set()
        self.idle: list[_Connection] = []
        self.n_opening = 0
        self.waiting: deque[SendAttempt] = deque()

    def submit(self, send: SendAttempt) -> None:
        """Send over an idle connection, else open one, else wait for one."""
        now = self.client.clock()
        while self.idle:
            conn = self.idle.pop()
            is_fresh = send.idempotent or now - conn.idle_since < IDLE_ONCE_S
            if is_fresh and now < conn.idle_until and not conn.transport.is_closing():
                self._write(conn, send)
                return
            self.discard(conn)
        self.waiting.append(send)
        self._open_more(send.n_connections_max)

    def _open_more(self, n_max: int) -> None:
        wanted = len(self.waiting) - self.n_opening
        if wanted > 0 and len(self.connections) + self.n_opening < n_max:
            self.n_opening += 1
            self.client.start_task(self._open())

    def warm(self) -> None:
        """Open a connection if there is none."""
        if not self.connections and not self.n_opening:
            self.n_opening += 1
            self.client.start_task(self._open())

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        began_at = self.client.clock()
        conn = None
        detail = ""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, conn = await loop.create_connection(
                    lambda: _Connection(self), host, int(port)
                )
        except (OSError, TimeoutError, ValueError) as exc:
            detail = type(exc).__name__
        self.n_opening -= 1
        if conn is None:
            # Whatever waits has not been sent to this replica.
            if not self.waiting:
                self.client.on_refused(self.replica)
            failed, self.waiting = self.waiting, deque()
            for send in failed:
                end = AttemptFailed(send.attempt_id, FailureKind.CONNECT, detail)
                self.client.end(send, end)
            return
        self.connections.add(conn)
        self.client.on_connected(self.replica, self.client.clock() - began_at)
        self.on_free(conn)

    def on_free(self, conn: _Connection) -> None:
        """Use a connection for the next attempt, or keep it idle."""
        if conn.send is not None or conn not in self.connections:
            return
        if conn.dirty or conn.transport.is_closing():
            self.discard(conn)
            if self.waiting:
                self._open_more(self.waiting[0].n_connections_max)
            return
        if self.waiting:
            self._write(conn, self.waiting.popleft())
            return
        if conn not in self.idle:
            kept_s = max(0.5, conn.keep_s - IDLE_MARGIN_S)
            conn.idle_since = self.client.clock()
            conn.idle_until = conn.idle_since + kept_s
            self.idle.append(conn)

    def _write(self, conn: _Connection, send: SendAttempt) -> None:
        left_s = send.deadline_at - self.client.clock()
        if left_s <= 0:
            end = AttemptFailed(send.attempt_id, FailureKind.CONNECT, "deadline")
            self.client.end(send, end)
            self.on_free(conn)
            return
        self.client.sent_[send.attempt_id] = conn
        conn.write(send, encode_request(self.client.dialect, send, left_s))

    def discard(self, conn: _Connection) -> None:
        """Close a connection for good."""
        self.connections.discard(conn)
        if conn in self.idle:
            self.idle.remove(conn)
        conn.close()

    def drop_idle(self) -> None:
        """Close all idle connections."""
        for conn in list(self.idle):
            self.discard(conn)

    def sweep(self, now: float) -> None:
        """Close connections that have been idle too long."""
        for conn in [c for c in self.idle if now >= c.idle_until]:
            self.discard(conn)


class ReplicaClient:
    """Carry out `SendAttempt` and `AbortAttempt`; each send has one end event."""

    def __init__(
        self,
        dialect: BaseDialect,
        on_end: OnEnd,
        on_connected: OnConnected,
        on_refused: Callable[[str], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.dialect = dialect
        self.on_end = on_end
        self.on_connected = on_connected
        self.on_refused = on_refused
        self.clock = clock
        self.pools_: dict[tuple[str, str], _Pool] = {}
        self.sent_: dict[int, _Connection] = {}
        self.waiting_: dict[int, _Pool] = {}
        self._tasks: set[asyncio.Task] = set()
        self._sweeper: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to close idle connections."""
        self._sweep()

    def stop(self) -> None:
        """Close everything."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for task in self._tasks:
            task.cancel()
        for pool in self.pools_.values():
            for conn in list(pool.connections):
                conn.send = None
                conn.close()

    def send(self, effect: SendAttempt) -> None:
        """Send an attempt."""
        pool = self._pool(effect.replica, effect.incarnation, effect.address)
        self.waiting_[effect.attempt_id] = pool
        pool.submit(effect)

    def warm(self, effect: WarmReplicas) -> None:
        """Open a connection to each replica that has none."""
        for entry in effect.entries:
            self._pool(entry.name, entry.incarnation, entry.address).warm()

    def _pool(self, replica: str, incarnation: str, address: str) -> _Pool:
        key = (replica, incarnation)
        pool = self.pools_.get(key)
        if pool is None or pool.address != address:
            pool = self.pools_[key] = _Pool(self, replica, address)
        return pool

    def abort(self, effect: AbortAttempt) -> None:
        """Close the connection of an attempt, or take it out of the queue."""
        conn = self.sent_.pop(effect.attempt_id, None)
        pool = self.waiting_.pop(effect.attempt_id, None)
        if conn is not None:
            conn.send = None
            conn.pool.discard(conn)
        elif pool is not None:
            pool.waiting = deque(
                s for s in pool.waiting if s.attempt_id != effect.attempt_id
            )

    def drop(self, effect: DropReplica) -> None:
        """Close the idle connections to a replica."""
        for key in [k for k in self.pools_ if k[0] == effect.replica]:
            self.pools_[key].drop_idle()

    def drop_all_idle(self, effect: object = None) -> None:
        """Close all idle connections."""
        for pool in self.pools_.values():
            pool.drop_idle()

    def end(self, send: SendAttempt, end: AttemptAnswered | AttemptFailed) -> None:
        """Report the end of an attempt once."""
        self.sent_.pop(send.attempt_id, None)
        if self.waiting_.pop(send.attempt_id, None) is not None:
            self.on_end(end)

    def start_task(self, coroutine) -> None:
        """Run a coroutine and keep it from being collected."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def n_connections(self) -> int:
        """Return the number of open connections."""
        return sum(len(pool.connections) for pool in self.pools_.values())

    def _sweep(self) -> None:
        now = self.clock()
        for key, pool in list(self.pools_.items()):
            pool.sweep(now)
            if not (pool.connections or pool.waiting or pool.n_opening):
                del self.pools_[key]
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)


def encode_request(dialect: BaseDialect, send: SendAttempt, left_s: float) -> bytes:
    """Return the bytes of an attempt's request."""
    req = send.req
    lines = [req.method + b" " + req.target + b" HTTP/1.1"]
    for name, value in dialect.attempt_headers(send, left_s):
        lines.append(name + b": " + value)
    if req.body or req.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"Content-Length: %d" % len(req.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + req.body


def _keep_alive_s(value: bytes, default: float) -> float:
    for item in value.split(b","):
        name, _, number = item.partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number.strip())
    return default
