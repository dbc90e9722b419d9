"""Connections to one replica, and the attempts that wait for one."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from jackdawsill.core import FailureKind
from jackdawsill.forwarding import AttemptFailed, SendAttempt
from jackdawsill.http1._connection import ReplicaConnection
from jackdawsill.http1._header_codec import BaseHeaderCodec

if TYPE_CHECKING:
    from jackdawsill.http1._client import ReplicaClient

# Ten round trips between the most distant regions of the users (8 ms one way), with
# the opening itself; an attempt that is not connected by then goes elsewhere.
CONNECT_TIMEOUT_S = 0.25
# A helper is in the same failure domain; a call that it does not take in this time is
# still in time here.
HELPER_CONNECT_TIMEOUT_S = 0.05
# Idle connections are closed this much before the replica would, so that no request
# crosses its close.
IDLE_MARGIN_S = 1.0
# A request that may run only once is sent over a connection that was used this
# shortly before, or over a new one: a replica may have dropped an older one without
# a sign, and a loss could then not be told from a run.
IDLE_ONCE_S = 0.5


class ReplicaPool:
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
        self.connections: set[ReplicaConnection] = set()
        self.idle: list[ReplicaConnection] = []
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

    def _connect_timeout_s(self) -> float:
        is_helper = bool(self.waiting) and self.waiting[0].is_delegated
        return HELPER_CONNECT_TIMEOUT_S if is_helper else CONNECT_TIMEOUT_S

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        began_at = self.client.clock()
        conn = None
        detail = ""
        try:
            async with asyncio.timeout(self._connect_timeout_s()):
                _, conn = await loop.create_connection(
                    lambda: ReplicaConnection(self), host, int(port)
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

    def on_free(self, conn: ReplicaConnection) -> None:
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

    def _write(self, conn: ReplicaConnection, send: SendAttempt) -> None:
        left_s = send.deadline_at - self.client.clock()
        if left_s <= 0:
            end = AttemptFailed(send.attempt_id, FailureKind.CONNECT, "deadline")
            self.client.end(send, end)
            self.on_free(conn)
            return
        self.client.sent_[send.attempt_id] = conn
        conn.write(send, encode_request(self.client.header_codec, send, left_s))

    def discard(self, conn: ReplicaConnection) -> None:
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


def encode_request(
    header_codec: BaseHeaderCodec, send: SendAttempt, left_s: float
) -> bytes:
    """Return the bytes of an attempt's request."""
    req = send.req
    lines = [req.method + b" " + req.target + b" HTTP/1.1"]
    for name, value in header_codec.attempt_headers(send, left_s):
        lines.append(name + b": " + value)
    if req.body or req.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"Content-Length: %d" % len(req.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + req.body
