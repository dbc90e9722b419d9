"""Fakes of the tests of HTTP connections: header codec, transport and pool."""

from jackdawsill.forwarding import ForwardRequest, ReplicaAnswer, SendAttempt
from jackdawsill.http1 import BaseHeaderCodec
from jackdawsill.http1._connection import ReplicaConnection


class FakeHeaderCodec(BaseHeaderCodec):
    """Codec whose responses repeat the request id in the header `Id`."""

    def attempt_headers(self, attempt, remaining_s):
        """Send the id."""
        return ((b"Id", attempt.req.request_id),)

    def is_response_to(self, request_id, headers):
        """Compare the ids."""
        echoed = dict(headers).get(b"Id")
        return None if echoed is None else echoed == request_id

    def read_response(self, status, headers, body):
        """Accept every response."""
        return ReplicaAnswer(status, headers, body, b"signed")


class FakeTransport:
    """Fake transport whose write buffer is always empty."""

    def __init__(self) -> None:
        self.closed = False

    def get_extra_info(self, name):
        """Return no socket."""

    def write(self, data) -> None:
        """Discard the bytes."""

    def get_write_buffer_size(self) -> int:
        """Return 0."""
        return 0

    def is_closing(self) -> bool:
        """Return whether the connection was closed."""
        return self.closed

    def abort(self) -> None:
        """Record the close."""
        self.closed = True


class FakePool:
    """Fake pool and client of one connection; records the events of ended attempts."""

    def __init__(self) -> None:
        self.client = self
        self.header_codec = FakeHeaderCodec()
        self.ends: list = []
        self.n_held_bytes_ = 0
        self.conn = ReplicaConnection(self)
        self.conn.transport = FakeTransport()

    @property
    def is_reusable(self) -> bool:
        """Return whether another attempt may use the connection."""
        return not self.conn.must_close and not self.conn.transport.closed

    def send(
        self, number: int, *, method: bytes = b"GET", is_delegated: bool = False
    ) -> None:
        """Send an attempt; its number is also the request id."""
        req = ForwardRequest(b"%d" % number, method, b"/x", b"a.example")
        attempt = SendAttempt(
            number,
            req,
            "i-1",
            "",
            "10.0.0.1:80",
            9.0,
            True,
            1,
            is_delegated=is_delegated,
        )
        self.conn.write(attempt, b"")

    def feed(self, data: bytes) -> None:
        """Receive bytes, unless the connection is closed."""
        if data and not self.conn.transport.closed:
            self.conn.data_received(data)

    def hold(self, conn, n_bytes: int) -> None:
        """Count the bytes of an unfinished response."""
        conn.n_held_bytes += n_bytes
        self.n_held_bytes_ += n_bytes

    def discard(self, conn) -> None:
        """Close the connection."""
        conn.close()

    def release(self, conn) -> None:
        """Close the connection if it must not be reused."""
        if conn.must_close:
            conn.close()

    def report_end(self, attempt, outcome) -> None:
        """Record the end of an attempt."""
        self.ends.append(outcome)
