"""HTTP/1.1 connection to a replica."""

import asyncio
from typing import TYPE_CHECKING

import httptools

from jackdawsill.core import FailureKind
from jackdawsill.forwarding import (
    AttemptAnswered,
    AttemptFailed,
    ReplicaAnswer,
    ReplicaSpoke,
    SendAttempt,
)
from jackdawsill.http1._body import BodyBuffer
from jackdawsill.http1._bounds import ResponseMeter, check_status
from jackdawsill.http1._header_codec import (
    DELEGATION_DECLINED,
    DELEGATION_VERSION,
    ResponseFailure,
    read_number,
)
from jackdawsill.runtime import enable_tcp_keepalive

if TYPE_CHECKING:
    from jackdawsill.http1._pool import ReplicaPool

# Idle timeout of a replica that sends no Keep-Alive header.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Idle timeout of a connection that has not carried a request. The replica has not sent
# its own timeout yet, and may close the connection first.
NEVER_USED_IDLE_TIMEOUT_S = 60.0
MAX_REPLICA_RESPONSE_BYTES = 4 * 1024 * 1024


class ReplicaConnection(asyncio.Protocol):
    """One connection; it carries one attempt at a time.

    `must_close` is set when the connection cannot carry another attempt, `is_framed`
    when the response's headers tell where its body ends. `n_held_bytes` is the size of
    the unfinished response, which counts towards the client's limit.
    """

    __slots__ = (
        "attempt",
        "body",
        "head_complete",
        "headers",
        "idle_since",
        "idle_timeout_s",
        "idle_until",
        "is_framed",
        "is_reused",
        "meter",
        "must_close",
        "n_held_bytes",
        "parser",
        "pool",
        "status",
        "transport",
    )

    def __init__(self, pool: "ReplicaPool") -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: SendAttempt | None = None
        self.idle_since = 0.0
        self.idle_until = 0.0
        self.idle_timeout_s = NEVER_USED_IDLE_TIMEOUT_S
        self.must_close = False
        self.is_reused = False
        self.n_held_bytes = 0
        self.meter = ResponseMeter(MAX_REPLICA_RESPONSE_BYTES)
        self.parser = httptools.HttpResponseParser(self)
        self._reset()

    def _reset(self) -> None:
        """Forget the last response, so that its state cannot pass for the next one."""
        self.headers: list[tuple[bytes, bytes]] = []
        self._drop_body()
        self.meter.start_response()
        self.status = 0
        self.is_framed = False
        self.head_complete = False

    def connection_made(self, transport) -> None:
        """Let TCP detect a replica that fails without closing the connection."""
        self.transport = transport
        enable_tcp_keepalive(transport.get_extra_info("socket"))

    def write(self, attempt: SendAttempt, data: bytes) -> None:
        """Send an attempt over this idle connection."""
        self._reset()
        self.attempt = attempt
        self.meter.start_request()
        if not self.is_reused:
            # Without a Keep-Alive header the default applies from now on.
            self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; malformed ones fail the attempt."""
        if self.attempt is None:
            # Unsolicited bytes must not be read as the response to a later request.
            self.pool.discard(self)
            return
        try:
            self.parser.feed_data(data)
            self.meter.add_received(len(data))
        except httptools.HttpParserUpgrade:
            self.fail(FailureKind.BAD_ANSWER, "unexpected protocol upgrade")
        except (httptools.HttpParserError, ValueError) as exc:
            if self.attempt is None:
                self.pool.discard(self)
            else:
                # The parser raises its own error from that of a callback.
                detail = f"invalid response: {exc.__context__ or exc}"
                self.fail(FailureKind.BAD_ANSWER, detail[:120])

    def on_message_begin(self) -> None:
        """Begin a response; without an attempt the connection must be closed."""
        self._reset()
        if self.attempt is None:
            self.must_close = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; drop a trailer, which must not change the response."""
        if not self.head_complete:
            self.headers.append((name, value))
            self.meter.check_headers(len(self.headers))

    def on_headers_complete(self) -> None:
        """Read status, framing of the body and idle timeout."""
        check_status(self.parser.get_status_code())
        self.head_complete = True
        self.status = self.parser.get_status_code()
        for name, value in self.headers:
            key = name.lower()
            if key in (b"content-length", b"transfer-encoding"):
                self.is_framed = True
            elif key == b"keep-alive":
                self.idle_timeout_s = _parse_keep_alive_s(value, self.idle_timeout_s)
        if self.status in (204, 304):
            self.is_framed = True
        if self.attempt is not None and self.attempt.req.method == b"HEAD":
            # The parser would wait for a body that a response to HEAD does not have.
            self.must_close = True
            self.on_message_complete()

    def on_body(self, data: bytes) -> None:
        """Collect the body; raise ResponseTooLarge if it exceeds a limit."""
        self.meter.add_body(len(data))
        if self.attempt is not None:
            self.body += data
            self.pool.client.hold(self, len(data))

    def on_message_complete(self) -> None:
        """End the attempt, unless the response belongs to another request."""
        attempt = self.attempt
        if attempt is None:
            self.must_close = True
            return
        if self.status < 200:
            self._skip_response()
            return
        headers = tuple(self.headers)
        is_own = self._is_response_to(attempt, headers)
        if is_own is None:
            raise ValueError("response without a request id on a reused connection")
        if is_own:
            self._finish(headers)
        else:
            # A late or duplicate response to an earlier request on this connection.
            self.must_close = True
            self._skip_response()

    def _skip_response(self) -> None:
        """Count and forget a response that does not end the attempt."""
        self.meter.add_extra_response()
        self._reset()

    def _is_response_to(self, attempt: SendAttempt, headers) -> bool | None:
        """Return whether a response belongs to an attempt; None if unknown.

        Without an id, only the first request of a connection identifies its response.
        """
        codec = self.pool.client.header_codec
        is_own = codec.is_response_to(attempt.req.request_id, headers)
        if is_own is None and (attempt.is_delegated or not self.is_reused):
            self.must_close = self.must_close or not attempt.is_delegated
            return True
        return is_own

    def _finish(self, headers) -> None:
        attempt = self.attempt
        body = bytes(self.body)
        if attempt.is_delegated:
            result = ReplicaAnswer(self.status, headers, body)
            if any(name.lower() == DELEGATION_DECLINED for name, _ in headers):
                version = read_number(headers, DELEGATION_VERSION) or 0
                result = ResponseFailure(FailureKind.DECLINED, delegate_version=version)
        else:
            header_codec = self.pool.client.header_codec
            result = header_codec.read_response(self.status, headers, body)
        closes = not self.parser.should_keep_alive() or not self.is_framed
        # The next request cannot follow one whose body is not written completely.
        unsent = self.transport.get_write_buffer_size() > 0
        self.attempt = None
        self.is_reused = True
        self._drop_body()
        self.must_close = self.must_close or closes or unsent
        if isinstance(result, ResponseFailure):
            outcome = AttemptFailed(
                attempt.attempt_id,
                result.kind,
                result.detail,
                result.limit_per_s,
                delegate_version=result.delegate_version,
            )
            if result.kind is FailureKind.BAD_ANSWER:
                self.must_close = True
        else:
            outcome = AttemptAnswered(attempt.attempt_id, result)
        # Deferred until the parser has read the rest of the data: extra bytes set
        # must_close.
        spoke = None if attempt.is_delegated else self._read_spoke(attempt, headers)
        loop = asyncio.get_running_loop()
        loop.call_soon(self._end_attempt, attempt, outcome, spoke)

    def _read_spoke(self, attempt: SendAttempt, headers) -> ReplicaSpoke | None:
        """Return what the replica says of itself, or None if nothing."""
        codec = self.pool.client.header_codec
        signals = codec.read_signals(self.status, headers)
        if signals.is_empty:
            return None
        request_id = attempt.req.request_id.decode("latin-1")
        return ReplicaSpoke(
            attempt.replica, attempt.incarnation, request_id, self.status, signals
        )

    def _end_attempt(
        self,
        attempt: SendAttempt,
        outcome: AttemptAnswered | AttemptFailed,
        spoke: ReplicaSpoke | None,
    ) -> None:
        """Release the connection, then report the end, which may start an attempt.

        What the replica says of itself comes first, so that nothing more is sent.
        """
        if spoke is not None:
            self.pool.client.on_spoke(spoke)
        self.pool.release(self)
        self.pool.client.report_end(attempt, outcome)

    def fail(self, kind: FailureKind, detail: str) -> None:
        """Close the connection and fail its attempt."""
        attempt, self.attempt = self.attempt, None
        self.pool.discard(self)
        if attempt is not None:
            outcome = AttemptFailed(attempt.attempt_id, kind, detail)
            self.pool.client.report_end(attempt, outcome)

    def eof_received(self) -> bool:
        """Complete a response whose body ends with the connection."""
        is_unframed = self.head_complete and not self.is_framed and self.status >= 200
        if self.attempt is not None and is_unframed:
            headers = tuple(self.headers)
            if self._is_response_to(self.attempt, headers):
                self.must_close = True
                self._finish(headers)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the attempt, whose request may have run.

        The replica may have crashed, whether or not it had begun its response.
        """
        self.must_close = True
        detail = "connection closed" if exc is None else type(exc).__name__
        if self.head_complete:
            detail += " during the response"
        self.fail(FailureKind.CRASH, detail)

    def _drop_body(self) -> None:
        """Drop the unfinished body, which no longer counts towards the client's limit.

        A connection and its parser refer to each other, so that a closed one stays in
        memory until it is collected.
        """
        self.body = BodyBuffer()
        self.pool.client.n_held_bytes_ -= self.n_held_bytes
        self.n_held_bytes = 0

    def close(self) -> None:
        """Close at once; unsent bytes are dropped."""
        self._drop_body()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.abort()


def _parse_keep_alive_s(value: bytes, default: float) -> float:
    for item in value.split(b","):
        name, _, number = item.partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number.strip())
    return default
