"""Callers' connections: requests read whole, one reply to each in order."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

import httptools

from jackdawsill.forwarding import CallerLimits, Headers
from jackdawsill.http1._sockets import enable_tcp_keepalive

# Resolution of the callers' limits, which are seconds.
SWEEP_S = 0.25
# Connections that wait for accept; a full queue delays an opening by seconds.
BACKLOG = 1024
# Requests read ahead of the one that is being answered.
MAX_PIPELINED = 8
STATUS_LINES = {
    200: b"OK",
    400: b"Bad Request",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class RawRequest:
    """A request as read from a connection."""

    __slots__ = ("body", "headers", "keep_alive", "method", "n_body", "target")

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.n_body = 0
        self.keep_alive = True


# Called with the connection's id of a request and the request.
OnRequest = Callable[[int, RawRequest], None]
OnCallerGone = Callable[[int], None]


class _CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    __slots__ = (
        "active",
        "closing",
        "head_began_at",
        "idle_limit_s",
        "idle_since",
        "keep_alive",
        "n_head",
        "parser",
        "queue",
        "reading",
        "rejected",
        "server",
        "transport",
    )

    def __init__(self, server: "CallServer") -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.reading: RawRequest | None = None
        self.queue: deque[RawRequest] = deque()
        self.active = 0  # id of the request that waits for its reply
        self.keep_alive = True
        self.closing = False
        self.rejected = False
        self.head_began_at: float | None = None
        self.n_head = 0
        self.idle_since = 0.0
        self.idle_limit_s = 0.0

    def connection_made(self, transport) -> None:
        """Begin to wait for a request."""
        self.transport = transport
        enable_tcp_keepalive(transport.get_extra_info("socket"))
        self.server.connections.add(self)
        self._rest()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that the caller of the current request is gone."""
        self.server.connections.discard(self)
        self.queue.clear()
        if self.active:
            self.server.forget(self.active)
            self.active = 0

    def eof_received(self) -> bool:
        """Close as the caller did."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse requests; a malformed one is answered and ends the connection."""
        if self.rejected:
            return
        if self.head_began_at is None and self.reading is None:
            self.head_began_at = self.server.clock()
            self.n_head = 0
        if self.head_began_at is not None:
            self.n_head += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(400)
            return
        except httptools.HttpParserError:
            self.reject(400)
            return
        if self.head_began_at is not None:
            limits = self.server.limits()
            if self.n_head > limits.max_header_bytes:
                self.reject(431)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.reading = RawRequest()

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self.reading.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self.reading.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the bounds of the head, and the stated length of the body."""
        req = self.reading
        self.head_began_at = None
        req.method = self.parser.get_method()
        req.keep_alive = self.parser.should_keep_alive()
        limits = self.server.limits()
        n_head = sum(len(name) + len(value) + 4 for name, value in req.headers)
        if n_head + len(req.target) > limits.max_header_bytes:
            self.reject(431)
            return
        for name, value in req.headers:
            key = name.lower()
            if key == b"content-length" and int(value) > limits.max_body_bytes:
                self.reject(413)
                return
            if key == b"expect" and value.lower() == b"100-continue":
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect the body up to its bound."""
        req = self.reading
        req.n_body += len(data)
        if req.n_body > self.server.limits().max_body_bytes:
            self.reject(413)
            return
        req.body.append(data)

    def on_message_complete(self) -> None:
        """Hand the request on, or queue it behind the current one."""
        if self.rejected:
            return
        req, self.reading = self.reading, None
        if self.active:
            self.queue.append(req)
            if len(self.queue) >= MAX_PIPELINED:
                self.transport.pause_reading()
            return
        self._begin(req)

    def reject(self, status: int) -> None:
        """Answer a request that cannot be read, and close."""
        if self.rejected:
            return
        self.rejected = True
        self.head_began_at = None
        self.server.on_reject(status)
        if not self.active:
            self.transport.write(encode_reply(status, (), b"", keep_alive=False))
            self.transport.close()

    def reply(self, status: int, headers: Headers, body: bytes, *, close: bool) -> None:
        """Write the reply to the current request."""
        self.active = 0
        keep_alive = self.keep_alive and not close and not self.rejected
        if self.transport.is_closing():
            return
        self.transport.write(encode_reply(status, headers, body, keep_alive=keep_alive))
        if not keep_alive:
            self.transport.close()
            return
        self._rest()
        if self.queue:
            req = self.queue.popleft()
            self.transport.resume_reading()
            self._begin(req)

    def sweep(self, now: float, limits: CallerLimits) -> None:
        """Close a connection whose request head or next request takes too long."""
        if self.active or self.transport.is_closing():
            return
        if self.head_began_at is not None or self.reading is not None:
            began_at = self.head_began_at
            if began_at is not None and now - began_at > limits.header_timeout_s:
                self.reject(408)
            return
        # Callers may rely on the limit that was in force when the connection rested.
        idle_limit_s = max(self.idle_limit_s, limits.idle_timeout_s)
        if now - self.idle_since > idle_limit_s:
            self.transport.close()

    def close_if_idle(self) -> None:
        """Close a connection on which nothing is under way."""
        if not self.active and self.head_began_at is None and self.reading is None:
            self.transport.close()

    def _begin(self, req: RawRequest) -> None:
        self.keep_alive = req.keep_alive
        self.active = self.server.begin(self, req)

    def _rest(self) -> None:
        self.idle_since = self.server.clock()
        self.idle_limit_s = self.server.limits().idle_timeout_s


class CallServer:
    """Listen for callers; each request handed on gets exactly one reply."""

    def __init__(
        self,
        on_request: OnRequest,
        on_gone: OnCallerGone,
        limits: Callable[[], CallerLimits],
        next_id: Callable[[], int],
        on_reject: Callable[[int], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.on_request = on_request
        self.on_gone = on_gone
        self.limits = limits
        self.next_id = next_id
        self.on_reject = on_reject
        self.clock = clock
        self.connections: set[_CallerConnection] = set()
        self.open_calls_: dict[int, _CallerConnection] = {}
        self.closing_ = False
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen on the address and return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerConnection(self), host, port, backlog=BACKLOG
        )
        self._sweep()
        return self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            conn.transport.close()

    def begin(self, conn: _CallerConnection, req: RawRequest) -> int:
        """Hand a request on under a new id."""
        call_id = self.next_id()
        self.open_calls_[call_id] = conn
        conn.active = call_id
        self.on_request(call_id, req)
        return conn.active

    def forget(self, call_id: int) -> None:
        """Drop a request whose caller is gone."""
        if self.open_calls_.pop(call_id, None) is not None:
            self.on_gone(call_id)

    def reply(
        self, call_id: int, status: int, headers: Headers = (), body: bytes = b""
    ) -> None:
        """Send the reply of a request; one whose caller is gone is dropped."""
        conn = self.open_calls_.pop(call_id, None)
        if conn is not None:
            conn.reply(status, headers, body, close=self.closing_)

    def close_callers(self, *, idle_now: bool) -> None:
        """End each connection after its reply, and idle ones if `idle_now`."""
        self.closing_ = True
        if idle_now:
            for conn in list(self.connections):
                conn.close_if_idle()

    def _sweep(self) -> None:
        now = self.clock()
        limits = self.limits()
        for conn in list(self.connections):
            conn.sweep(now, limits)
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)


def encode_reply(
    status: int, headers: Headers, body: bytes, *, keep_alive: bool
) -> bytes:
    """Return the bytes of a reply with its length."""
    reason = STATUS_LINES.get(status, b"Status")
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [name + b": " + value for name, value in headers]
    if status not in (204, 304):
        lines.append(b"Content-Length: %d" % len(body))
    if not keep_alive:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
