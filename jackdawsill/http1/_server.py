"""HTTP/1.1 server that reads whole requests and sends replies in their order."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

import httptools

from jackdawsill.forwarding import CallerLimits, Headers
from jackdawsill.runtime import enable_tcp_keepalive

# Interval of the check for expired header and idle timeouts, which are seconds; a
# timeout may be exceeded by this much.
TIMEOUT_CHECK_INTERVAL_S = 0.25
# Length of the accept queue. While it is full, a new connection is delayed by seconds,
# because the client has to send its SYN again.
BACKLOG = 1024
# Requests read ahead of the one in progress; then reading pauses.
MAX_PIPELINED = 8
# Bytes of a field beside its name and value: colon, space and the end of the line.
FIELD_OVERHEAD_BYTES = 4
REASON_PHRASES = {
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
    """A request as received; headers keep their order and case."""

    __slots__ = (
        "body",
        "has_head",
        "headers",
        "keep_alive",
        "method",
        "n_trailer_bytes",
        "target",
    )

    def __init__(self) -> None:
        self.has_head = False  # all headers have come
        self.n_trailer_bytes = 0
        self.method = b""
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.keep_alive = True


# Called with a call id and the request.
OnRequest = Callable[[int, RawRequest], None]
OnCallerDisconnected = Callable[[int], None]


class _CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    __slots__ = (
        "active_call_id",
        "closing",
        "head_started_at",
        "idle_since",
        "idle_timeout_s",
        "is_head",
        "keep_alive",
        "n_head_bytes",
        "parser",
        "partial_request",
        "pipelined_requests",
        "rejected",
        "server",
        "transport",
    )

    def __init__(self, server: "CallServer") -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.partial_request: RawRequest | None = None
        self.pipelined_requests: deque[RawRequest] = deque()
        self.active_call_id = 0  # 0 if no request waits for its reply
        self.keep_alive = True
        self.is_head = False  # the request in progress
        self.closing = False
        self.rejected = False
        self.head_started_at: float | None = None
        self.n_head_bytes = 0
        self.idle_since = 0.0
        self.idle_timeout_s = 0.0

    def connection_made(self, transport) -> None:
        """Start the idle timeout."""
        self.transport = transport
        enable_tcp_keepalive(transport.get_extra_info("socket"))
        self.server.connections.add(self)
        self._mark_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the caller of the request in progress has disconnected."""
        self.server.connections.discard(self)
        # The parser refers to this connection, which stays in memory until collected.
        self.partial_request = None
        self.pipelined_requests.clear()
        if self.active_call_id:
            self.server.on_disconnected(self.active_call_id)
            self.active_call_id = 0

    def eof_received(self) -> bool:
        """Close the connection when the caller has closed its side."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse requests; a malformed one is rejected and closes the connection."""
        if self.rejected:
            return
        if self.head_started_at is None and self.partial_request is None:
            self.head_started_at = self.server.clock()
            self.n_head_bytes = 0
        if self.head_started_at is not None:
            self.n_head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request has been dispatched and gets its reply; what follows it is of
            # a protocol that is not offered.
            self.rejected = True
            if not self.active_call_id:
                self.transport.close()
            return
        except httptools.HttpParserError:
            self.reject(400)
            return
        if self.head_started_at is not None:
            limits = self.server.limits()
            if self.n_head_bytes > limits.max_header_bytes:
                self.reject(431)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.partial_request = RawRequest()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self.partial_request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; drop a trailer, which must not change the request."""
        req = self.partial_request
        if not req.has_head:
            req.headers.append((name, value))
            return
        req.n_trailer_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if req.n_trailer_bytes > self.server.limits().max_header_bytes:
            self.reject(431)

    def on_headers_complete(self) -> None:
        """Check the size of the headers and the Content-Length against the limits."""
        req = self.partial_request
        self.head_started_at = None
        req.has_head = True
        req.method = self.parser.get_method()
        req.keep_alive = self.parser.should_keep_alive()
        limits = self.server.limits()
        n_head_bytes = sum(
            len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in req.headers
        )
        if n_head_bytes + len(req.target) > limits.max_header_bytes:
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
        """Collect the body; reject one over the limit."""
        req = self.partial_request
        if len(req.body) + len(data) > self.server.limits().max_body_bytes:
            self.reject(413)
            return
        req.body += data

    def on_message_complete(self) -> None:
        """Dispatch the request, or queue it behind the one in progress."""
        if self.rejected:
            return
        req, self.partial_request = self.partial_request, None
        if self.active_call_id:
            self.pipelined_requests.append(req)
            if len(self.pipelined_requests) >= MAX_PIPELINED:
                self.transport.pause_reading()
            return
        self._dispatch(req)

    def reject(self, status: int) -> None:
        """Reject a request that is malformed, too large or too slow, and close.

        While another request is in progress the status is not sent; the reply to that
        request closes the connection.
        """
        if self.rejected:
            return
        self.rejected = True
        self.head_started_at = None
        self.server.on_reject(status)
        if not self.active_call_id:
            self.transport.write(encode_reply(status, (), b"", keep_alive=False))
            self.transport.close()

    def reply(self, status: int, headers: Headers, body: bytes, *, close: bool) -> None:
        """Write the reply to the request in progress, and dispatch the next one."""
        self.active_call_id = 0
        keep_alive = self.keep_alive and not close and not self.rejected
        if self.transport.is_closing():
            return
        reply = encode_reply(
            status, headers, body, keep_alive=keep_alive, is_head=self.is_head
        )
        self.transport.write(reply)
        if not keep_alive:
            self.transport.close()
            return
        self._mark_idle()
        if self.pipelined_requests:
            req = self.pipelined_requests.popleft()
            self.transport.resume_reading()
            self._dispatch(req)

    def check_timeouts(self, now: float, limits: CallerLimits) -> None:
        """Close the connection after its header timeout or idle timeout."""
        if self.active_call_id or self.transport.is_closing():
            return
        if self.head_started_at is not None or self.partial_request is not None:
            began_at = self.head_started_at
            if began_at is not None and now - began_at > limits.header_timeout_s:
                self.reject(408)
            return
        # Callers may rely on the limit that applied when the connection became idle.
        idle_timeout_s = max(self.idle_timeout_s, limits.idle_timeout_s)
        if now - self.idle_since > idle_timeout_s:
            self.transport.close()

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress or being received."""
        if (
            not self.active_call_id
            and self.head_started_at is None
            and self.partial_request is None
        ):
            self.transport.close()

    def _dispatch(self, req: RawRequest) -> None:
        self.keep_alive = req.keep_alive
        self.is_head = req.method == b"HEAD"
        self.active_call_id = self.server.dispatch(self, req)

    def _mark_idle(self) -> None:
        self.idle_since = self.server.clock()
        self.idle_timeout_s = self.server.limits().idle_timeout_s


class CallServer:
    """Listen for HTTP clients; each dispatched request gets one reply.

    A call is one dispatched request. The clients are callers, other gateways that
    delegate calls, load balancers or operators. `on_caller_disconnected` gets the id
    of a call whose client closed the connection before the reply, `on_reject` the
    status of a request that is malformed, too large or too slow.
    """

    def __init__(
        self,
        on_request: OnRequest,
        on_caller_disconnected: OnCallerDisconnected,
        limits: Callable[[], CallerLimits],
        next_id: Callable[[], int],
        on_reject: Callable[[int], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.on_request = on_request
        self.on_caller_disconnected = on_caller_disconnected
        self.limits = limits
        self.next_id = next_id
        self.on_reject = on_reject
        self.clock = clock
        self.connections: set[_CallerConnection] = set()
        self.connections_by_call_: dict[int, _CallerConnection] = {}
        self.closing_ = False
        self._server: asyncio.Server | None = None
        self._check_handle: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen on the address and return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerConnection(self), host, port, backlog=BACKLOG
        )
        self._check_timeouts()
        return self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Accept no more connections; the open ones are served on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def stop(self) -> None:
        """Stop listening and close all connections after their pending writes."""
        if self._check_handle is not None:
            self._check_handle.cancel()
        self.stop_listening()
        for conn in list(self.connections):
            conn.transport.close()

    def dispatch(self, conn: _CallerConnection, req: RawRequest) -> int:
        """Pass a request to `on_request`; return its call id, 0 if already replied."""
        call_id = self.next_id()
        self.connections_by_call_[call_id] = conn
        conn.active_call_id = call_id
        self.on_request(call_id, req)
        return conn.active_call_id

    def on_disconnected(self, call_id: int) -> None:
        """Drop a call whose caller has disconnected."""
        if self.connections_by_call_.pop(call_id, None) is not None:
            self.on_caller_disconnected(call_id)

    def reply(
        self, call_id: int, status: int, headers: Headers = (), body: bytes = b""
    ) -> None:
        """Reply to a call; do nothing if its caller has disconnected."""
        conn = self.connections_by_call_.pop(call_id, None)
        if conn is not None:
            conn.reply(status, headers, body, close=self.closing_)

    def start_closing(self, *, idle_now: bool) -> None:
        """From now on close each connection after its next reply.

        With `idle_now`, close idle connections at once.
        """
        self.closing_ = True
        if idle_now:
            for conn in list(self.connections):
                conn.close_if_idle()

    def _check_timeouts(self) -> None:
        now = self.clock()
        limits = self.limits()
        for conn in list(self.connections):
            conn.check_timeouts(now, limits)
        loop = asyncio.get_running_loop()
        self._check_handle = loop.call_later(
            TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts
        )


def encode_reply(
    status: int,
    headers: Headers,
    body: bytes,
    *,
    keep_alive: bool,
    is_head: bool = False,
) -> bytes:
    """Return the bytes of a reply, with Content-Length where it is allowed.

    The reply to a HEAD request has no body, and states the length only of one that was
    left out here: what a replica would have sent is not known.
    """
    has_no_body = status in (204, 304)
    reason = REASON_PHRASES.get(status, b"Status")
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [name + b": " + value for name, value in headers]
    if not has_no_body and (body or not is_head):
        lines.append(b"Content-Length: %d" % len(body))
    if not keep_alive:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if has_no_body or is_head else head + body
