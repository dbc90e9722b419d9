"""Requests of callers in any pieces, several at once, and malformed ones."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from jackdawsill.core.tests.searches import search
from jackdawsill.forwarding import CallerLimits
from jackdawsill.http1._server import CallServer, _CallerConnection
from jackdawsill.http1.tests.test_connection import pieces

SEARCH = search(150)
LIMITS = CallerLimits(max_header_bytes=400, max_body_bytes=1000)
# Heads that another server on the way may read in another way.
AMBIGUOUS = (
    b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 30\r\n\r\n",
    b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n\r\n",
    b"POST /x HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
    b"POST /x HTTP/1.1\r\nContent-Length : 3\r\n\r\n",
)


class _Transport:
    """Keep what is written, and whether the connection was closed."""

    def __init__(self) -> None:
        self.written = b""
        self.closed = False

    def get_extra_info(self, name):
        """Return no socket."""

    def write(self, data) -> None:
        """Keep the bytes."""
        self.written += data

    def close(self) -> None:
        """Close."""
        self.closed = True

    def is_closing(self) -> bool:
        """Tell whether the connection was closed."""
        return self.closed

    def pause_reading(self) -> None:
        """Read on; the test feeds everything at once."""

    def resume_reading(self) -> None:
        """Read on."""


class _Caller:
    """One connection of a caller to a server without sockets."""

    def __init__(self, *, replies_at_once: bool = True) -> None:
        self.requests: list = []
        self.rejected: list[int] = []
        self.n_ids = 0
        self.replies_at_once = replies_at_once
        self.server = CallServer(
            self.on_request,
            lambda call_id: None,
            lambda: LIMITS,
            self.next_id,
            self.rejected.append,
            lambda: 0.0,
        )
        self.conn = _CallerConnection(self.server)
        self.transport = _Transport()
        self.conn.connection_made(self.transport)

    def next_id(self) -> int:
        """Return the next id of a call."""
        self.n_ids += 1
        return self.n_ids

    def on_request(self, call_id, raw) -> None:
        """Keep a request, and reply with its number."""
        self.requests.append((raw.target, b"".join(raw.body)))
        if self.replies_at_once:
            self.server.reply(call_id, 200, (), b"reply-%d;" % call_id)

    def feed(self, data: bytes) -> None:
        """Let bytes arrive."""
        if data and not self.transport.closed:
            self.conn.data_received(data)


def request(number: int, body: bytes) -> bytes:
    """Return a request with a body."""
    head = b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    return head % (number, len(body)) + body


class TestRequests(unittest.TestCase):
    """Each request is handed on whole and has its reply in order."""

    @SEARCH
    @given(
        bodies=st.lists(st.binary(max_size=60), min_size=1, max_size=6),
        at=st.lists(st.integers(0, 2000), max_size=8),
    )
    def test_pieces(self, bodies, at):
        """Guards against requests that depend on how the network cuts them."""
        caller = _Caller()
        data = b"".join(request(n, body) for n, body in enumerate(bodies))
        for piece in pieces(data, at):
            caller.feed(piece)
        wanted = [(b"/%d" % n, body) for n, body in enumerate(bodies)]
        self.assertEqual(caller.requests, wanted)
        order = [b"reply-%d;" % (n + 1) for n in range(len(bodies))]
        places = [caller.transport.written.index(reply) for reply in order]
        self.assertEqual(places, sorted(places))

    def test_one_at_a_time(self):
        """Guards against a reply to a request that is still being answered."""
        caller = _Caller(replies_at_once=False)
        caller.feed(request(0, b"a") + request(1, b"b"))
        self.assertEqual(len(caller.requests), 1)
        caller.server.reply(1, 200, (), b"first")
        self.assertEqual(len(caller.requests), 2)
        self.assertIn(b"first", caller.transport.written)

    @SEARCH
    @given(data=st.binary(max_size=300), at=st.lists(st.integers(0, 300), max_size=4))
    def test_anything(self, data, at):
        """Guards against bytes of a caller that end the process."""
        caller = _Caller()
        for piece in pieces(data, at):
            caller.feed(piece)
        self.assertEqual(caller.requests, [])


class TestMalformed(unittest.TestCase):
    """A request that cannot be read is refused, and nothing after it is read."""

    def test_ambiguous_length(self):
        """Guards against a request that is smuggled inside another one."""
        for head in AMBIGUOUS:
            with self.subTest(head):
                caller = _Caller()
                caller.feed(head + b"abc" + request(7, b"smuggled"))
                self.assertEqual([t for t, _ in caller.requests if t == b"/7"], [])
                self.assertTrue(caller.transport.closed)

    def test_bounds(self):
        """Guards against a caller that fills the memory."""
        cases = {
            431: b"GET /x HTTP/1.1\r\nA: " + b"a" * 500 + b"\r\n\r\n",
            413: request(1, b"a" * 1001),
        }
        for status, data in cases.items():
            with self.subTest(status):
                caller = _Caller()
                caller.feed(data)
                self.assertEqual(caller.rejected, [status])
                self.assertEqual(caller.requests, [])
                self.assertTrue(caller.transport.closed)
