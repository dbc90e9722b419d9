"""Requests of callers: split anywhere, pipelined, or malformed."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from jackdawsill.core.tests.searches import search
from jackdawsill.forwarding import CallerLimits
from jackdawsill.http1._server import CallServer
from jackdawsill.http1.tests.test_connection import split_at

# Hypothesis settings: 150 examples, the same in every run.
SEARCH_SETTINGS = search(150)
LIMITS = CallerLimits(max_header_bytes=400, max_body_bytes=1000)
# Request heads that another server or proxy may parse differently.
AMBIGUOUS = (
    b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 30\r\n\r\n",
    b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n\r\n",
    b"POST /x HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
    b"POST /x HTTP/1.1\r\nContent-Length : 3\r\n\r\n",
)


class _FakeTransport:
    """Fake transport that records what is written and whether it was closed."""

    def __init__(self) -> None:
        self.written = b""
        self.closed = False

    def get_extra_info(self, name):
        """Return no socket."""

    def write(self, data) -> None:
        """Record the bytes."""
        self.written += data

    def close(self) -> None:
        """Record the close."""
        self.closed = True

    def is_closing(self) -> bool:
        """Return whether the connection was closed."""
        return self.closed

    def pause_reading(self) -> None:
        """Do nothing; the test feeds everything at once."""

    def resume_reading(self) -> None:
        """Do nothing."""


class _FakeCaller:
    """Connection of a caller to a server without sockets.

    With `replies_at_once` the server replies to each request when it is dispatched.
    """

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
        self.conn = self.server.make_connection()
        self.transport = _FakeTransport()
        self.conn.connection_made(self.transport)

    def next_id(self) -> int:
        """Return the next id of a call."""
        self.n_ids += 1
        return self.n_ids

    def on_request(self, call_id, raw) -> None:
        """Record a request, and reply with its call id."""
        self.requests.append((raw.target, bytes(raw.body)))
        if self.replies_at_once:
            self.server.reply(call_id, 200, (), b"reply-%d;" % call_id)

    def feed(self, data: bytes) -> None:
        """Receive bytes, unless the connection is closed."""
        if data and not self.transport.closed:
            self.conn.data_received(data)


def encode_request(number: int, body: bytes) -> bytes:
    """Return the bytes of a request to the target /number."""
    head = b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    return head % (number, len(body)) + body


class TestRequests(unittest.TestCase):
    """Each request is dispatched complete, and replies keep the order of requests."""

    @SEARCH_SETTINGS
    @given(
        bodies=st.lists(st.binary(max_size=60), min_size=1, max_size=6),
        cut_points=st.lists(st.integers(0, 2000), max_size=8),
    )
    def test_split_requests(self, bodies, cut_points):
        """Guards against parsing that depends on how TCP splits requests."""
        caller = _FakeCaller()
        data = b"".join(encode_request(n, body) for n, body in enumerate(bodies))
        for piece in split_at(data, cut_points):
            caller.feed(piece)
        expected = [(b"/%d" % n, body) for n, body in enumerate(bodies)]
        self.assertEqual(caller.requests, expected)
        replies = [b"reply-%d;" % (n + 1) for n in range(len(bodies))]
        offsets = [caller.transport.written.index(reply) for reply in replies]
        self.assertEqual(offsets, sorted(offsets))

    def test_one_at_a_time(self):
        """Guards against dispatching a request while another one is in progress."""
        caller = _FakeCaller(replies_at_once=False)
        caller.feed(encode_request(0, b"a") + encode_request(1, b"b"))
        self.assertEqual(len(caller.requests), 1)
        caller.server.reply(1, 200, (), b"first")
        self.assertEqual(len(caller.requests), 2)
        self.assertIn(b"first", caller.transport.written)

    @SEARCH_SETTINGS
    @given(
        data=st.binary(max_size=300),
        cut_points=st.lists(st.integers(0, 300), max_size=4),
    )
    def test_arbitrary_bytes(self, data, cut_points):
        """Guards against arbitrary bytes that raise or are dispatched as a request."""
        caller = _FakeCaller()
        for piece in split_at(data, cut_points):
            caller.feed(piece)
        self.assertEqual(caller.requests, [])


class TestMalformed(unittest.TestCase):
    """A malformed request is rejected, and nothing after it is parsed."""

    def test_ambiguous_length(self):
        """Guards against request smuggling through an ambiguous body length."""
        for head in AMBIGUOUS:
            with self.subTest(head):
                caller = _FakeCaller()
                caller.feed(head + b"abc" + encode_request(7, b"smuggled"))
                self.assertEqual([t for t, _ in caller.requests if t == b"/7"], [])
                self.assertTrue(caller.transport.closed)

    def test_size_limits(self):
        """Guards against unbounded memory for one request."""
        cases = {
            431: b"GET /x HTTP/1.1\r\nA: " + b"a" * 500 + b"\r\n\r\n",
            413: encode_request(1, b"a" * 1001),
        }
        for status, data in cases.items():
            with self.subTest(status):
                caller = _FakeCaller()
                caller.feed(data)
                self.assertEqual(caller.rejected, [status])
                self.assertEqual(caller.requests, [])
                self.assertTrue(caller.transport.closed)


class TestRepliesWithoutBody(unittest.TestCase):
    """The reply to a HEAD request ends with its head."""

    def test_head(self):
        """Guards against a body that the caller reads as its next reply."""
        for head, others in (b"HEAD", b"GET"), (b"GET", b"HEAD"):
            with self.subTest(first=head):
                caller = _FakeCaller()
                for method in head, others:
                    caller.feed(method + b" /x HTTP/1.1\r\nHost: a\r\n\r\n")
                heads = caller.transport.written.split(b"\r\n\r\n")
                bodies = [b"", b"reply-2;"] if head == b"HEAD" else [b"reply-1;", b""]
                self.assertEqual(heads[1].partition(b"HTTP/1.1")[0], bodies[0])
                self.assertEqual(heads[2], bodies[1])

    def test_pipelined_head(self):
        """Guards against the method of another request on the connection."""
        caller = _FakeCaller(replies_at_once=False)
        caller.feed(b"HEAD /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
        caller.server.reply(1, 503, (), b"refused")
        self.assertNotIn(b"refused", caller.transport.written)
        self.assertIn(b"Content-Length: 7", caller.transport.written)
        caller.server.reply(2, 503, (), b"refused")
        self.assertTrue(caller.transport.written.endswith(b"refused"))

    def test_length_of_an_answer(self):
        """Guards against a length of 0 that a replica did not state."""
        caller = _FakeCaller(replies_at_once=False)
        caller.feed(b"HEAD /1 HTTP/1.1\r\n\r\n")
        caller.server.reply(1, 200, ((b"Server", b"x"),), b"")
        self.assertNotIn(b"Content-Length", caller.transport.written)

    def test_status_without_body(self):
        """Guards against a body after a status that has none."""
        for status in 204, 304:
            caller = _FakeCaller(replies_at_once=False)
            caller.feed(b"GET /1 HTTP/1.1\r\n\r\n")
            caller.server.reply(1, status, (), b"text")
            self.assertTrue(caller.transport.written.endswith(b"\r\n\r\n"))


class TestUpgradeRequests(unittest.TestCase):
    """A request that asks for another protocol gets one reply, and a close."""

    REQUEST = (
        b"GET /1 HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
    )

    def test_replied_at_once(self):
        """Guards against a second reply, to no request."""
        caller = _FakeCaller()
        caller.feed(self.REQUEST)
        self.assertEqual(caller.transport.written.count(b"HTTP/1.1 "), 1)
        self.assertIn(b"HTTP/1.1 200 ", caller.transport.written)
        self.assertTrue(caller.transport.closed)

    def test_replied_later(self):
        """Guards against bytes of another protocol that are read as requests."""
        caller = _FakeCaller(replies_at_once=False)
        caller.feed(self.REQUEST + b"GET /2 HTTP/1.1\r\n\r\n")
        self.assertFalse(caller.transport.closed)
        caller.server.reply(1, 200, (), b"")
        self.assertEqual(caller.transport.written.count(b"HTTP/1.1 "), 1)
        self.assertIn(b"Connection: close", caller.transport.written)
        self.assertTrue(caller.transport.closed)
        self.assertEqual(len(caller.requests), 1)
