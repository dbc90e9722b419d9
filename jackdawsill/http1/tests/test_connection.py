"""Answers of replicas in any pieces, with bytes that belong to no request."""

import asyncio
import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from jackdawsill.core import FailureKind
from jackdawsill.core.tests.searches import search
from jackdawsill.forwarding import (
    AttemptAnswered,
    AttemptFailed,
    ForwardRequest,
    ReplicaAnswer,
    SendAttempt,
)
from jackdawsill.http1._connection import ReplicaConnection
from jackdawsill.http1._header_codec import BaseHeaderCodec

SEARCH = search(150)
cuts = st.lists(st.integers(0, 400), max_size=6)
SECOND = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: 1\r\n\r\nno"
trailing = st.sampled_from((b"x", b"\r\n", SECOND, b"\x00" * 9))


class _Dialect(BaseHeaderCodec):
    """Know the answer to a request by its header `Id`."""

    def is_answer_to(self, request_id, headers):
        """Compare the ids, as the platform's replicas repeat them."""
        return dict(headers).get(b"Id") == request_id

    def read_answer(self, status, headers, body):
        """Take every answer."""
        return ReplicaAnswer(status, headers, body, b"signed")


class _Transport:
    """A transport that keeps nothing unsent."""

    def __init__(self) -> None:
        self.closed = False

    def write(self, data) -> None:
        """Take the bytes."""

    def get_write_buffer_size(self) -> int:
        """Return 0: all was sent."""
        return 0

    def is_closing(self) -> bool:
        """Tell whether the connection was closed."""
        return self.closed

    def abort(self) -> None:
        """Close."""
        self.closed = True


class _Pool:
    """The pool and client of one connection; it keeps the ends of attempts."""

    def __init__(self) -> None:
        self.client = self
        self.header_codec = _Dialect()
        self.ends: list = []
        self.conn = ReplicaConnection(self)
        self.conn.transport = _Transport()

    @property
    def is_usable(self) -> bool:
        """Tell whether another attempt may use the connection."""
        return not self.conn.dirty and not self.conn.transport.closed

    def ask(self, number: int) -> None:
        """Send an attempt whose request id is its number."""
        req = ForwardRequest(b"%d" % number, b"GET", b"/x", b"a.example")
        send = SendAttempt(number, req, "i-1", "", "10.0.0.1:80", 9.0, True, 1)
        self.conn.write(send, b"")

    def feed(self, data: bytes) -> None:
        """Let bytes arrive, as long as the connection is open."""
        if data and not self.conn.transport.closed:
            self.conn.data_received(data)

    def discard(self, conn) -> None:
        """Close the connection."""
        conn.close()

    def on_free(self, conn) -> None:
        """Keep the connection, unless it is spoilt."""
        if conn.dirty:
            conn.close()

    def end(self, send, end) -> None:
        """Keep the end of an attempt."""
        self.ends.append(end)


def answer(number: int, body: bytes, *, chunked: bool = False) -> bytes:
    """Return an answer to the request with the number."""
    head = b"HTTP/1.1 200 OK\r\nId: %d\r\n" % number
    if chunked:
        half = len(body) // 2
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in (body[:half],) if c)
        rest = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body) - half, body[half:])
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + rest
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def pieces(data: bytes, at: list[int]) -> list[bytes]:
    """Cut bytes at the places."""
    places = sorted({0, len(data), *(place % (len(data) + 1) for place in at)})
    return [data[a:b] for a, b in itertools.pairwise(places)]


class TestPieces(unittest.TestCase):
    """Each attempt ends once, with the answer to its own request or a failure."""

    @SEARCH
    @given(body=st.binary(min_size=1, max_size=200), at=cuts, chunked=st.booleans())
    def test_whole_answers(self, body, at, chunked):
        """Guards against answers that depend on how the network cuts them."""

        async def run():
            pool = _Pool()
            for number in (1, 2):
                pool.ask(number)
                for piece in pieces(answer(number, body, chunked=chunked), at):
                    pool.feed(piece)
                    await asyncio.sleep(0)
            return pool

        pool = asyncio.run(run())
        self.assertTrue(pool.is_usable)
        self.assertEqual([type(e) for e in pool.ends], [AttemptAnswered] * 2)
        self.assertEqual({e.answer.body for e in pool.ends}, {body})

    @SEARCH
    @given(body=st.binary(max_size=100), at=cuts, extra=trailing, later=st.booleans())
    def test_bytes_after_an_answer(self, body, at, extra, later):
        """Guards against a second answer that is taken for the next request's."""

        async def run():
            pool = _Pool()
            pool.ask(1)
            first = answer(1, body)
            parts = [first, extra] if later else pieces(first + extra, at)
            for piece in parts:
                pool.feed(piece)
                await asyncio.sleep(0)
            if pool.is_usable:
                pool.ask(2)
                pool.feed(answer(2, b"two"))
                await asyncio.sleep(0)
            return pool

        pool = asyncio.run(run())
        first, *others = pool.ends
        self.assertEqual(first.answer.body, body)
        for end in others:
            is_own = isinstance(end, AttemptAnswered) and end.answer.body == b"two"
            self.assertTrue(is_own or isinstance(end, AttemptFailed), end)

    @SEARCH
    @given(at=cuts)
    def test_late_second_answer(self, at):
        """Guards against the second answer to an earlier request of a connection."""

        async def run():
            pool = _Pool()
            pool.ask(1)
            pool.feed(answer(1, b"one"))
            await asyncio.sleep(0)
            pool.ask(2)
            for piece in pieces(SECOND + answer(2, b"two"), at):
                pool.feed(piece)
                await asyncio.sleep(0)
            return pool

        pool = asyncio.run(run())
        self.assertEqual(pool.ends[1].answer.body, b"two")
        self.assertFalse(pool.is_usable)

    def test_bytes_while_idle(self):
        """Guards against reuse of a connection that sent what nobody asked for."""
        pool = _Pool()
        pool.feed(b"H")
        self.assertFalse(pool.is_usable)

    def test_connections_that_end(self):
        """Guards against a request that crosses the close of its connection."""

        async def run():
            pool = _Pool()
            pool.ask(1)
            head = b"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n"
            pool.feed(head + b"Content-Length: 1\r\n\r\na")
            await asyncio.sleep(0)
            return pool

        pool = asyncio.run(run())
        self.assertIsInstance(pool.ends[0], AttemptAnswered)
        self.assertFalse(pool.is_usable)

    @SEARCH
    @given(body=st.binary(min_size=1, max_size=100), at=cuts, n=st.integers(0, 200))
    def test_broken_off(self, body, at, n):
        """Guards against part of an answer that is taken for the whole."""

        async def run():
            pool = _Pool()
            pool.ask(1)
            whole = answer(1, body)
            for piece in pieces(whole[: n % len(whole)], at):
                pool.feed(piece)
            if not pool.conn.transport.closed:
                pool.conn.eof_received()
            pool.conn.connection_lost(None)
            await asyncio.sleep(0)
            return pool

        pool = asyncio.run(run())
        (end,) = pool.ends
        self.assertIsInstance(end, AttemptFailed)
        self.assertIn(end.kind, (FailureKind.CRASH, FailureKind.BAD_ANSWER))

    @SEARCH
    @given(data=st.binary(max_size=300), at=cuts)
    def test_no_answer(self, data, at):
        """Guards against an attempt that ends twice or raises, whatever arrives."""

        async def run():
            pool = _Pool()
            pool.ask(1)
            for piece in pieces(data, at):
                pool.feed(piece)
            pool.conn.connection_lost(ConnectionResetError())
            await asyncio.sleep(0)
            return pool

        pool = asyncio.run(run())
        (end,) = pool.ends
        self.assertIsInstance(end, AttemptFailed)


class TestUnframed(unittest.TestCase):
    """An answer without a length ends with its connection."""

    def ends(self, error: Exception | None) -> list:
        """Return the ends after an unframed answer and the loss of its connection."""

        async def run():
            pool = _Pool()
            pool.ask(1)
            pool.feed(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody")
            if error is None:
                pool.conn.eof_received()
            pool.conn.connection_lost(error)
            await asyncio.sleep(0)
            return pool.ends

        return asyncio.run(run())

    def test_closed(self):
        """Guards against dropping an answer that is whole."""
        (end,) = self.ends(None)
        self.assertEqual(end.answer.body, b"body")

    def test_reset(self):
        """Guards against an answer that was reset on its way."""
        (end,) = self.ends(ConnectionResetError())
        self.assertIsInstance(end, AttemptFailed)
