"""Callers that send without waiting, do not read, or send slowly."""

import unittest

from jackdawsill.forwarding import CallerLimits
from jackdawsill.http1._server import CallServer
from jackdawsill.http1.tests._fakes import FakeTransport

N_REQUESTS = 4000
# Requests parsed beyond the one in progress: the queue, and those of one slice.
N_PARSED_MAX = 400
BLOCK_BYTES = 256 * 1024
LIMITS = CallerLimits()
REQUEST = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
POST_HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"


class _CallerTransport(FakeTransport):
    """Fake transport that records what is written and whether reading is paused."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.is_paused = False

    def write(self, data) -> None:
        """Record the bytes."""
        self.written += data

    def close(self) -> None:
        """Record the close."""
        self.closed = True

    def pause_reading(self) -> None:
        """Record the pause."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Record the end of the pause."""
        self.is_paused = False


class _Caller:
    """A caller's connection to a server that replies when it is told to, or at once."""

    def __init__(self, *, replies_at_once: bool = False) -> None:
        self.now = 100.0
        self.replies_at_once = replies_at_once
        self.targets: list[bytes] = []
        self.rejected: list[int] = []
        self.server = CallServer(
            self.on_request,
            lambda call_id: None,
            lambda: LIMITS,
            lambda: len(self.targets) + 1,
            self.rejected.append,
            lambda: self.now,
        )
        self.conn = self.server.make_connection()
        self.transport = _CallerTransport()
        self.conn.connection_made(self.transport)

    def on_request(self, call_id: int, raw) -> None:
        """Record a request."""
        self.targets.append(raw.target)
        if self.replies_at_once:
            self.reply()

    def reply(self) -> None:
        """Reply to the last request."""
        self.server.reply(len(self.targets), 200, (), b"ok")

    def feed(self, data: bytes) -> None:
        """Receive bytes in blocks, as far as the connection reads them."""
        for start in range(0, len(data), BLOCK_BYTES):
            if self.transport.is_paused or self.transport.closed:
                return
            self.conn.data_received(data[start : start + BLOCK_BYTES])

    def wait(self, seconds: float) -> None:
        """Let time pass, with the checks of the server."""
        for _ in range(round(seconds / 0.25)):
            self.now += 0.25
            self.conn.check_timeouts(self.now, LIMITS)


def requests(n: int) -> bytes:
    """Return requests that follow on one another."""
    return b"".join(REQUEST % i for i in range(n))


class TestManyRequestsAtOnce(unittest.TestCase):
    """Requests of one connection wait unparsed while others are in progress."""

    def test_reading_stops(self):
        """Guards against a queue of requests that takes the host's memory."""
        caller = _Caller()
        caller.feed(requests(N_REQUESTS))
        self.assertEqual(caller.targets, [b"/0"])
        self.assertTrue(caller.transport.is_paused)
        self.assertLess(len(caller.conn.pipelined_requests), N_PARSED_MAX)

    def test_all_are_served_in_order(self):
        """Guards against requests that are lost while reading has stopped."""
        caller = _Caller()
        caller.feed(requests(N_REQUESTS))
        while len(caller.targets) < N_REQUESTS:
            n_before = len(caller.targets)
            caller.reply()
            self.assertEqual(len(caller.targets), n_before + 1)
        caller.reply()
        self.assertEqual(caller.targets, [b"/%d" % i for i in range(N_REQUESTS)])
        self.assertEqual(caller.transport.written.count(b"HTTP/1.1 200"), N_REQUESTS)
        self.assertFalse(caller.transport.is_paused)

    def test_replies_at_once(self):
        """Guards against a recursion as deep as the queue is long."""
        caller = _Caller(replies_at_once=True)
        caller.feed(requests(N_REQUESTS))
        self.assertEqual(len(caller.targets), N_REQUESTS)
        caller = _Caller()
        caller.feed(requests(N_REQUESTS))
        caller.replies_at_once = True
        caller.reply()
        self.assertEqual(len(caller.targets), N_REQUESTS)

    def test_malformed_request_behind_others(self):
        """Guards against complete requests without a reply before a malformed one."""
        caller = _Caller()
        caller.feed(requests(1) + b"\x00\x00")
        self.assertEqual(caller.rejected, [400])
        caller.reply()
        self.assertEqual(caller.transport.written.count(b"HTTP/1.1"), 1)
        self.assertTrue(caller.transport.closed)

    def test_large_body_behind_a_request(self):
        """Guards against bodies that change while they wait unparsed."""
        body = bytes(range(256)) * 800
        post = b"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body)
        caller = _Caller()
        bodies = []
        caller.server.on_request = lambda call_id, raw: (
            caller.on_request(call_id, raw),
            bodies.append(bytes(raw.body)),
        )
        caller.feed(requests(20) + post + body + requests(3))
        for _ in range(24):
            caller.reply()
        self.assertEqual(bodies[20], body)
        self.assertEqual(len(bodies), 24)


class TestRepliesNotRead(unittest.TestCase):
    """A caller that reads no replies gets no further ones."""

    def test_write_buffer_is_full(self):
        """Guards against replies that take the host's memory."""
        caller = _Caller(replies_at_once=True)
        caller.conn.pause_writing()
        caller.feed(requests(N_REQUESTS))
        n_served = len(caller.targets)
        self.assertLessEqual(n_served, 1)
        self.assertTrue(caller.transport.is_paused)
        caller.conn.resume_writing()
        self.assertEqual(len(caller.targets), N_REQUESTS)

    def test_never_read(self):
        """Guards against connections held for ever by callers that do not read."""
        caller = _Caller(replies_at_once=True)
        caller.conn.pause_writing()
        caller.feed(requests(10))
        caller.wait(2 * LIMITS.idle_timeout_s)
        self.assertTrue(caller.transport.closed)


class TestSlowRequests(unittest.TestCase):
    """A request makes progress, or its connection is closed."""

    def test_second_head_in_one_segment(self):
        """Guards against a head without time and size, behind a complete request."""
        caller = _Caller(replies_at_once=True)
        caller.feed(requests(1) + b"GET /x HTTP/1.1\r\nA: ")
        caller.wait(LIMITS.header_timeout_s + 1.0)
        self.assertEqual(caller.rejected, [408])
        caller = _Caller(replies_at_once=True)
        caller.feed(requests(1) + b"GET /x HTTP/1.1\r\nA: ")
        for _ in range(20):
            caller.feed(b"a" * 4096)
        self.assertEqual(caller.rejected, [431])

    def test_body_that_stops(self):
        """Guards against connections held for ever by an unfinished body."""
        caller = _Caller()
        caller.feed(POST_HEAD + b"x" * 50)
        caller.wait(20.0)
        self.assertEqual(caller.rejected, [408])

    def test_body_of_a_byte_a_second(self):
        """Guards against the same by a body that never stops."""
        caller = _Caller()
        caller.feed(POST_HEAD)
        for _ in range(30):
            caller.feed(b"x")
            caller.wait(1.0)
        self.assertEqual(caller.rejected, [408])

    def test_slow_line(self):
        """Guards against giving up a body that comes over a slow line."""
        caller = _Caller()
        caller.feed(POST_HEAD)
        for _ in range(100):
            caller.feed(b"x" * 1000)
            caller.wait(1.0)
        self.assertEqual(caller.rejected, [])
        self.assertEqual(caller.targets, [b"/x"])

    def test_own_pause(self):
        """Guards against giving up a request that this host does not read on."""
        caller = _Caller()
        caller.feed(requests(N_REQUESTS)[: BLOCK_BYTES // 4 + 7])
        for _ in range(8):
            caller.wait(LIMITS.header_timeout_s + 1.0)
            caller.reply()
        self.assertEqual(caller.rejected, [])


class TestManyConnections(unittest.TestCase):
    """Above the bound a connection without a request is closed."""

    def setUp(self):
        self.caller = _Caller()
        self.server = self.caller.server
        self.server.max_connections = 4
        self.n_closed = 0
        self.server.on_overflow = self.count

    def count(self):
        """Count a connection that is closed."""
        self.n_closed += 1

    def connect(self, data: bytes = b"") -> _CallerTransport:
        """Open a connection, send bytes on it, and return its transport."""
        self.caller.now += 0.1
        conn = self.server.make_connection()
        transport = _CallerTransport()
        conn.connection_made(transport)
        if data:
            conn.data_received(data)
        return transport

    def test_longest_idle(self):
        """Guards against connections of callers that leave none for replicas."""
        self.caller.feed(requests(1))
        transports = [self.connect() for _ in range(4)]
        self.assertEqual([t.closed for t in transports], [True, False, False, False])
        self.assertFalse(self.caller.transport.closed)
        self.assertEqual(self.n_closed, 1)

    def test_none_is_idle(self):
        """Guards against unfinished requests that keep all others out."""
        self.caller.feed(requests(1))
        transports = [self.connect(POST_HEAD) for _ in range(3)]
        last = self.connect()
        self.assertEqual([t.closed for t in transports], [True, False, False])
        self.assertIn(b"503", transports[0].written)
        self.assertFalse(last.closed)

    def test_all_have_requests(self):
        """Guards against requests in progress that are cut off."""
        self.caller.feed(requests(1))
        transports = [self.connect(requests(1)) for _ in range(3)]
        last = self.connect()
        self.assertTrue(last.closed)
        self.assertFalse(any(t.closed for t in transports))
