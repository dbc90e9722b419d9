"""One connection of a caller: requests in their order, each with one reply."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools

from jackdawsill.forwarding import CallerLimits, Headers
from jackdawsill.http1._body import BodyBuffer
from jackdawsill.http1._reply_codec import encode_reply
from jackdawsill.runtime import enable_tcp_keepalive

if TYPE_CHECKING:
    from jackdawsill.http1._server import CallServer

# Requests parsed ahead of the one in progress; then reading pauses.
MAX_PIPELINED = 8
# Bytes parsed at a time. What follows the last request that may wait stays unparsed, as
# a parsed request takes many times its size.
SLICE_BYTES = 4096
# Bytes of a field beside its name and value: colon, space and the end of the line.
FIELD_OVERHEAD_BYTES = 4
# A body that has come for longer than this time must have come at this rate on the
# average, or its request is rejected.
BODY_GRACE_S = 15.0
BODY_MIN_BYTES_PER_S = 500


class RawRequest:
    """A request as received; headers keep their order and case."""

    __slots__ = (
        "body",
        "body_started_at",
        "has_head",
        "headers",
        "keep_alive",
        "method",
        "n_body_bytes",
        "n_trailer_bytes",
        "target",
    )

    def __init__(self) -> None:
        self.n_body_bytes = 0  # by Content-Length, 0 if not stated
        self.has_head = False  # all headers have come
        self.body_started_at = 0.0
        self.n_trailer_bytes = 0
        self.method = b""
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = BodyBuffer()
        self.keep_alive = True

    def is_too_slow(self, now: float) -> bool:
        """Tell whether the body comes slower than it must."""
        elapsed_s = now - self.body_started_at
        is_late = self.has_head and elapsed_s > BODY_GRACE_S
        return is_late and len(self.body) < BODY_MIN_BYTES_PER_S * elapsed_s


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    `unparsed` are bytes that wait for the replies to the requests before them;
    `can_write` is False while the caller does not read its replies.
    """

    __slots__ = (
        "active_call_id",
        "can_write",
        "closing",
        "head_started_at",
        "idle_since",
        "idle_timeout_s",
        "is_head",
        "is_serving",
        "keep_alive",
        "n_head_bytes",
        "parser",
        "partial_request",
        "pipelined_requests",
        "rejected",
        "server",
        "transport",
        "unparsed",
    )

    def __init__(self, server: "CallServer") -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.partial_request: RawRequest | None = None
        self.pipelined_requests: deque[RawRequest] = deque()
        self.unparsed = b""
        self.active_call_id = 0  # 0 if no request waits for its reply
        self.keep_alive = True
        self.can_write = True
        self.is_head = False  # the request in progress
        self.is_serving = False
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
        self._mark_idle()
        self.server.admit(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the caller of the request in progress has disconnected."""
        self.server.connections.discard(self)
        # The parser refers to this connection, which stays in memory until collected.
        self.partial_request = None
        self.unparsed = b""
        self.pipelined_requests.clear()
        if self.active_call_id:
            self.server.on_disconnected(self.active_call_id)
            self.active_call_id = 0

    def eof_received(self) -> bool:
        """Close the connection when the caller has closed its side."""
        return False

    def pause_writing(self) -> None:
        """Serve no further request until the caller has read its replies."""
        self.can_write = False

    def resume_writing(self) -> None:
        """Serve on."""
        self.can_write = True
        self._serve_next()

    def data_received(self, data: bytes) -> None:
        """Parse requests; a malformed one is rejected and closes the connection."""
        if self.unparsed:
            self.unparsed += data
            return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        """Parse until as many requests wait as may; keep the rest unparsed."""
        start = 0
        while start < len(data) and not self.rejected:
            if self.must_wait:
                self.unparsed = data[start:]
                self.transport.pause_reading()
                return
            end = start + max(SLICE_BYTES, self._n_body_bytes_due())
            self._parse_slice(data[start:end])
            start = end

    def _n_body_bytes_due(self) -> int:
        """Return how many bytes are of the body that is being received, at least."""
        req = self.partial_request
        return 0 if req is None else req.n_body_bytes - len(req.body)

    @property
    def must_wait(self) -> bool:
        """Return whether no further request may be parsed now."""
        return not self.can_write or len(self.pipelined_requests) >= MAX_PIPELINED

    def _parse_slice(self, data: bytes) -> None:
        if self.head_started_at is None and self.partial_request is None:
            self._start_head()
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

    def _start_head(self) -> None:
        self.head_started_at = self.server.clock()
        self.n_head_bytes = 0

    def on_message_begin(self) -> None:
        """Begin a request; its head may follow another request in the same data."""
        self.partial_request = RawRequest()
        self._start_head()

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
        req.body_started_at = self.server.clock()
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
            if key == b"content-length":
                req.n_body_bytes = int(value)
                if req.n_body_bytes > limits.max_body_bytes:
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
        if self.active_call_id or self.must_wait:
            self.pipelined_requests.append(req)
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
        self._serve_next()

    def _serve_next(self) -> None:
        """Dispatch requests that wait, and parse on, until one is in progress.

        A loop, because a request may get its reply while it is dispatched.
        """
        if self.is_serving:
            return
        self.is_serving = True
        try:
            while self.can_write and not self.active_call_id:
                if self.transport.is_closing():
                    return
                if self.pipelined_requests:
                    self._dispatch(self.pipelined_requests.popleft())
                elif self.unparsed:
                    self._resume()
                else:
                    return
        finally:
            self.is_serving = False

    def _resume(self) -> None:
        """Parse what has waited; its caller is not to blame for the time."""
        now = self.server.clock()
        if self.head_started_at is not None:
            self.head_started_at = now
        if self.partial_request is not None:
            self.partial_request.body_started_at = now
        data, self.unparsed = self.unparsed, b""
        self.transport.resume_reading()
        self._parse(data)

    def check_timeouts(self, now: float, limits: CallerLimits) -> None:
        """Close the connection after its header timeout or idle timeout.

        So is one whose body comes too slowly, or that does not read its replies.
        """
        if self.active_call_id or self.transport.is_closing():
            return
        req, began_at = self.partial_request, self.head_started_at
        if self.can_write and (began_at is not None or req is not None):
            is_late = began_at is not None and now - began_at > limits.header_timeout_s
            if is_late or (req is not None and req.is_too_slow(now)):
                self.reject(408)
            return
        # Callers may rely on the limit that applied when the connection became idle.
        idle_timeout_s = max(self.idle_timeout_s, limits.idle_timeout_s)
        if now - self.idle_since > idle_timeout_s:
            self.transport.close()

    @property
    def has_requests(self) -> bool:
        """Return whether complete requests wait, or one is in progress."""
        return bool(self.active_call_id or self.pipelined_requests or self.unparsed)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or being received."""
        is_receiving = self.head_started_at is not None or self.partial_request
        return not self.has_requests and not is_receiving

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress or being received."""
        if self.is_idle:
            self.transport.close()

    def _dispatch(self, req: RawRequest) -> None:
        self.keep_alive = req.keep_alive
        self.is_head = req.method == b"HEAD"
        self.active_call_id = self.server.dispatch(self, req)

    def _mark_idle(self) -> None:
        self.idle_since = self.server.clock()
        self.idle_timeout_s = self.server.limits().idle_timeout_s
