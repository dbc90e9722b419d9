"""Pool of connections to one replica."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from jackdawsill.core import FailureKind
from jackdawsill.forwarding import AttemptFailed, SendAttempt
from jackdawsill.http1._connection import ReplicaConnection
from jackdawsill.http1._header_codec import (
    DELEGATION_ATTEMPTS,
    DELEGATION_VERSION,
    BaseHeaderCodec,
)

if TYPE_CHECKING:
    from jackdawsill.http1._client import ReplicaClient

# Timeout of opening a connection: ten round trips between the most distant regions
# (8 ms one way), and time for the opening itself. The attempts that wait for it then
# fail as not sent and may be retried on another replica.
CONNECT_TIMEOUT_S = 0.25
# Timeout of connecting to a delegate, which is in the same failure domain. It is short,
# so that the host can still run the call itself after a failure.
DELEGATE_CONNECT_TIMEOUT_S = 0.05
# Idle connections are closed this long before the replica would close them, so that
# no request is sent while the replica closes.
IDLE_MARGIN_S = 1.0
# A non-idempotent request is sent over a connection that has been idle for less than
# this time, or over a new one. A replica may have dropped an older connection without
# a reset, and then the host cannot know whether the request has run.
NON_IDEMPOTENT_MAX_IDLE_S = 0.5


class ReplicaPool:
    """Connections to one replica, and the attempts that wait for a connection."""

    __slots__ = (
        "address",
        "client",
        "connections",
        "idle",
        "is_retired",
        "n_opening",
        "replica",
        "waiting",
    )

    def __init__(self, client: "ReplicaClient", replica: str, address: str) -> None:
        self.client = client
        self.replica = replica
        self.address = address
        self.connections: set[ReplicaConnection] = set()
        self.idle: list[ReplicaConnection] = []
        self.is_retired = False
        self.n_opening = 0
        self.waiting: deque[SendAttempt] = deque()

    @property
    def is_empty(self) -> bool:
        """Return whether the pool has no connections and no attempts."""
        return not (self.connections or self.waiting or self.n_opening)

    def retire(self) -> None:
        """Close each connection as soon as it is idle."""
        self.is_retired = True
        self.close_idle()

    def submit(self, attempt: SendAttempt) -> None:
        """Send over an idle connection, or queue and open one if allowed."""
        now = self.client.clock()
        while self.idle:
            conn = self.idle.pop()
            may_reuse = (
                attempt.idempotent or now - conn.idle_since < NON_IDEMPOTENT_MAX_IDLE_S
            )
            if may_reuse and now < conn.idle_until and not conn.transport.is_closing():
                self._write(conn, attempt)
                return
            self.discard(conn)
        self.waiting.append(attempt)
        self._open_more(attempt.n_connections_max)

    def _open_more(self, n_max: int) -> None:
        n_needed = len(self.waiting) - self.n_opening
        if n_needed > 0 and len(self.connections) + self.n_opening < n_max:
            self.n_opening += 1
            self.client.start_task(self._open())

    def remove_waiting(self, attempt_id: int) -> SendAttempt | None:
        """Remove an attempt from the queue and return it; None if it is not there."""
        for attempt in self.waiting:
            if attempt.attempt_id == attempt_id:
                self.waiting.remove(attempt)
                return attempt
        return None

    def warm(self) -> None:
        """Open a connection if there is none."""
        if not self.connections and not self.n_opening:
            self.n_opening += 1
            self.client.start_task(self._open())

    def verify(self) -> None:
        """Open another connection, to learn whether the replica still listens."""
        if not self.n_opening:
            self.n_opening += 1
            self.client.start_task(self._open())

    def _connect_timeout_s(self) -> float:
        is_delegate = bool(self.waiting) and self.waiting[0].is_delegated
        return DELEGATE_CONNECT_TIMEOUT_S if is_delegate else CONNECT_TIMEOUT_S

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        started_at = self.client.clock()
        conn = None
        detail = ""
        is_refused = False
        try:
            async with asyncio.timeout(self._connect_timeout_s()):
                _, conn = await loop.create_connection(
                    lambda: ReplicaConnection(self), host, int(port)
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as exc:
            detail = type(exc).__name__
            # A process that still holds a connection listens, so something on the way
            # refused this one.
            is_refused = isinstance(exc, ConnectionRefusedError)
            is_refused = is_refused and not self.connections
        self.n_opening -= 1
        if conn is None:
            if not self.waiting:
                self.client.on_connect_failure(self.replica, is_refused)
            failed, self.waiting = self.waiting, deque()
            for attempt in failed:
                outcome = AttemptFailed(
                    attempt.attempt_id,
                    FailureKind.CONNECT,
                    detail,
                    is_refused=is_refused,
                )
                self.client.report_end(attempt, outcome)
            return
        self.connections.add(conn)
        self.client.on_connected(self.replica, self.client.clock() - started_at)
        self.release(conn)

    def release(self, conn: ReplicaConnection) -> None:
        """Send the next queued attempt, keep the connection idle, or close it."""
        if conn.attempt is not None or conn not in self.connections:
            return
        if conn.must_close or conn.transport.is_closing():
            self.discard(conn)
            if self.waiting:
                self._open_more(self.waiting[0].n_connections_max)
            return
        if self.waiting:
            self._write(conn, self.waiting.popleft())
            return
        if self.is_retired:
            self.discard(conn)
            return
        if conn not in self.idle:
            max_idle_s = max(0.5, conn.idle_timeout_s - IDLE_MARGIN_S)
            conn.idle_since = self.client.clock()
            conn.idle_until = conn.idle_since + max_idle_s
            self.idle.append(conn)

    def _write(self, conn: ReplicaConnection, attempt: SendAttempt) -> None:
        remaining_s = attempt.deadline_at - self.client.clock()
        if remaining_s <= 0:
            outcome = AttemptFailed(
                attempt.attempt_id,
                FailureKind.EXPIRED,
                "deadline passed before sending",
            )
            self.client.report_end(attempt, outcome)
            self.release(conn)
            return
        self.client.connections_by_attempt_[attempt.attempt_id] = conn
        conn.write(
            attempt, encode_request(self.client.header_codec, attempt, remaining_s)
        )

    def discard(self, conn: ReplicaConnection) -> None:
        """Close a connection and remove it from the pool."""
        self.connections.discard(conn)
        if conn in self.idle:
            self.idle.remove(conn)
        conn.close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for conn in list(self.idle):
            self.discard(conn)

    def close_expired(self, now: float) -> None:
        """Close connections whose idle time has ended."""
        for conn in [c for c in self.idle if now >= c.idle_until]:
            self.discard(conn)


def encode_request(
    header_codec: BaseHeaderCodec, attempt: SendAttempt, remaining_s: float
) -> bytes:
    """Return the bytes of an attempt's request; `remaining_s` is until its deadline."""
    req = attempt.req
    lines = [req.method + b" " + req.target + b" HTTP/1.1"]
    for name, value in header_codec.attempt_headers(attempt, remaining_s):
        lines.append(name + b": " + value)
    if attempt.is_delegated:
        lines.append(DELEGATION_VERSION + b": %d" % attempt.config_version)
        lines.append(DELEGATION_ATTEMPTS + b": %d" % attempt.n_attempts_before)
    if req.body or req.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"Content-Length: %d" % len(req.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + req.body
