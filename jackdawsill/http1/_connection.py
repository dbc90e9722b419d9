"""One connection to a replica, which carries one attempt at a time."""

import asyncio
from typing import TYPE_CHECKING

import httptools

from jackdawsill.core import FailureKind
from jackdawsill.forwarding import (
    AttemptAnswered,
    AttemptFailed,
    ReplicaAnswer,
    SendAttempt,
)
from jackdawsill.http1._header_codec import ResponseFailure
from jackdawsill.http1._sockets import enable_tcp_keepalive

if TYPE_CHECKING:
    from jackdawsill.http1._pool import ReplicaPool

# Idle time of a replica that states none.
IDLE_DEFAULT_S = 4.0
# A connection that was never used is kept until the replica closes it.
IDLE_UNUSED_S = 60.0
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class ReplicaConnection(asyncio.Protocol):
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
        "status",
        "transport",
    )

    def __init__(self, pool: "ReplicaPool") -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.send: SendAttempt | None = None
        self.idle_since = 0.0
        self.idle_until = 0.0
        self.keep_s = IDLE_UNUSED_S  # until the replica states its own
        self.dirty = False
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
        enable_tcp_keepalive(transport.get_extra_info("socket"))

    def write(self, send: SendAttempt, data: bytes) -> None:
        """Send an attempt over this idle connection."""
        self.send = send
        if self.keep_s == IDLE_UNUSED_S:
            self.keep_s = IDLE_DEFAULT_S
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse what the replica sent."""
        if self.send is None:
            # Bytes that no attempt waits for belong to no request.
            self.pool.discard(self)
            return
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
        if not self.pool.client.header_codec.is_answer_to(send.req.request_id, headers):
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
            header_codec = self.pool.client.header_codec
            result = header_codec.read_answer(self.status, headers, body)
        closes = not self.parser.should_keep_alive() or not self.framed
        # A request whose body is still being written cannot be followed by another.
        unsent = self.transport.get_write_buffer_size() > 0
        self.send = None
        self.dirty = self.dirty or closes or unsent
        if isinstance(result, ResponseFailure):
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
            if self.pool.client.header_codec.is_answer_to(
                self.send.req.request_id, headers
            ):
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


def _keep_alive_s(value: bytes, default: float) -> float:
    for item in value.split(b","):
        name, _, number = item.partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number.strip())
    return default
