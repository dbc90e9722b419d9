"""Responses of replicas: split anywhere, truncated, or followed by extra bytes."""

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
)
from jackdawsill.http1 import end_to_end_headers
from jackdawsill.http1.tests._fakes import FakePool

# Hypothesis settings: 150 examples, the same in every run.
SEARCH_SETTINGS = search(150)
cut_point_lists = st.lists(st.integers(0, 400), max_size=6)
EXTRA_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: 1\r\n\r\nno"
UNIDENTIFIED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
INTERIM_RESPONSE = b"HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n"
trailing_bytes = st.sampled_from((b"x", b"\r\n", EXTRA_RESPONSE, b"\x00" * 9))


def encode_response(number: int, body: bytes, *, chunked: bool = False) -> bytes:
    """Return the bytes of a response to the request with the number."""
    head = b"HTTP/1.1 200 OK\r\nId: %d\r\n" % number
    if chunked:
        half = len(body) // 2
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in (body[:half],) if c)
        rest = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body) - half, body[half:])
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + rest
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def split_at(data: bytes, cut_points: list[int]) -> list[bytes]:
    """Split bytes at the cut points, modulo their length."""
    offsets = sorted({0, len(data), *(point % (len(data) + 1) for point in cut_points)})
    return [data[a:b] for a, b in itertools.pairwise(offsets)]


class TestResponses(unittest.TestCase):
    """Each attempt ends once, with the response to its own request or a failure."""

    @SEARCH_SETTINGS
    @given(
        body=st.binary(min_size=1, max_size=200),
        cut_points=cut_point_lists,
        chunked=st.booleans(),
    )
    def test_complete_responses(self, body, cut_points, chunked):
        """Guards against parsing that depends on how TCP splits a response."""

        async def run():
            pool = FakePool()
            for number in (1, 2):
                pool.send(number)
                for piece in split_at(
                    encode_response(number, body, chunked=chunked), cut_points
                ):
                    pool.feed(piece)
                    await asyncio.sleep(0)
            return pool

        pool = asyncio.run(run())
        self.assertTrue(pool.is_reusable)
        self.assertEqual([type(e) for e in pool.ends], [AttemptAnswered] * 2)
        self.assertEqual({e.answer.body for e in pool.ends}, {body})

    @SEARCH_SETTINGS
    @given(
        body=st.binary(max_size=100),
        cut_points=cut_point_lists,
        extra=trailing_bytes,
        arrives_separately=st.booleans(),
    )
    def test_bytes_after_a_response(self, body, cut_points, extra, arrives_separately):
        """Guards against bytes after a response that are read as the next response."""

        async def run():
            pool = FakePool()
            pool.send(1)
            first = encode_response(1, body)
            parts = (
                [first, extra]
                if arrives_separately
                else split_at(first + extra, cut_points)
            )
            for piece in parts:
                pool.feed(piece)
                await asyncio.sleep(0)
            if pool.is_reusable:
                pool.send(2)
                pool.feed(encode_response(2, b"two"))
                await asyncio.sleep(0)
            return pool

        pool = asyncio.run(run())
        first, *others = pool.ends
        self.assertEqual(first.answer.body, body)
        for end in others:
            is_own = isinstance(end, AttemptAnswered) and end.answer.body == b"two"
            self.assertTrue(is_own or isinstance(end, AttemptFailed), end)

    @SEARCH_SETTINGS
    @given(cut_points=cut_point_lists)
    def test_late_duplicate_response(self, cut_points):
        """Guards against accepting a duplicate response to an earlier request.

        It arrives after the next request was sent on the same connection.
        """

        async def run():
            pool = FakePool()
            pool.send(1)
            pool.feed(encode_response(1, b"one"))
            await asyncio.sleep(0)
            pool.send(2)
            for piece in split_at(
                EXTRA_RESPONSE + encode_response(2, b"two"), cut_points
            ):
                pool.feed(piece)
                await asyncio.sleep(0)
            return pool

        pool = asyncio.run(run())
        self.assertEqual(pool.ends[1].answer.body, b"two")
        self.assertFalse(pool.is_reusable)

    @SEARCH_SETTINGS
    @given(
        cut_points=cut_point_lists,
        late=st.sampled_from((EXTRA_RESPONSE, UNIDENTIFIED_RESPONSE, INTERIM_RESPONSE)),
        n_late=st.integers(0, 3),
        n_received=st.integers(0, 400),
        trailer=st.booleans(),
    )
    def test_own_complete_answer_or_failure(
        self, cut_points, late, n_late, n_received, trailer
    ):
        """Guards against a foreign or incomplete answer on a reused connection.

        Late responses come before the second one, which may be cut anywhere.
        """

        async def run():
            pool = FakePool()
            pool.send(1)
            pool.feed(encode_response(1, b"one", chunked=True))
            await asyncio.sleep(0)
            pool.send(2)
            own = encode_response(2, b"second", chunked=True)
            if trailer:
                own = own[:-2] + b"Id: 1\r\n\r\n"
            data = late * n_late + own
            is_cut = n_received < len(data)
            for piece in split_at(data[:n_received], cut_points):
                pool.feed(piece)
                await asyncio.sleep(0)
            if not pool.conn.transport.closed:
                pool.conn.eof_received()
            pool.conn.connection_lost(None)
            await asyncio.sleep(0)
            return pool, is_cut

        pool, is_cut = asyncio.run(run())
        first, second = pool.ends
        self.assertEqual(first.answer.body, b"one")
        if isinstance(second, AttemptAnswered):
            self.assertFalse(is_cut)
            self.assertEqual(second.answer.body, b"second")
        else:
            self.assertTrue(is_cut or (n_late and late is UNIDENTIFIED_RESPONSE))
        self.assertEqual(pool.n_held_bytes_, 0)

    def test_trailer_is_no_header(self):
        """Guards against a trailer that changes what the response says."""

        async def run():
            pool = FakePool()
            pool.send(1)
            own = encode_response(1, b"one", chunked=True)
            pool.feed(own[:-2] + b"Other: 1\r\n\r\n")
            await asyncio.sleep(0)
            return pool

        (end,) = asyncio.run(run()).ends
        self.assertNotIn(b"Other", dict(end.answer.headers))

    def test_first_response_without_id(self):
        """Guards against reuse of a connection whose responses cannot be identified."""

        async def run():
            pool = FakePool()
            pool.send(1)
            pool.feed(UNIDENTIFIED_RESPONSE)
            await asyncio.sleep(0)
            return pool

        pool = asyncio.run(run())
        self.assertEqual(pool.ends[0].answer.body, b"no")
        self.assertFalse(pool.is_reusable)

    def test_bytes_while_idle(self):
        """Guards against reuse of a connection that received unsolicited bytes."""
        pool = FakePool()
        pool.feed(b"H")
        self.assertFalse(pool.is_reusable)

    def test_connection_close_header(self):
        """Guards against a request on a connection that the replica is closing."""

        async def run():
            pool = FakePool()
            pool.send(1)
            head = b"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n"
            pool.feed(head + b"Content-Length: 1\r\n\r\na")
            await asyncio.sleep(0)
            return pool

        pool = asyncio.run(run())
        self.assertIsInstance(pool.ends[0], AttemptAnswered)
        self.assertFalse(pool.is_reusable)

    @SEARCH_SETTINGS
    @given(
        body=st.binary(min_size=1, max_size=100),
        cut_points=cut_point_lists,
        n_received=st.integers(0, 200),
    )
    def test_truncated_responses(self, body, cut_points, n_received):
        """Guards against accepting a truncated response."""

        async def run():
            pool = FakePool()
            pool.send(1)
            whole = encode_response(1, body)
            for piece in split_at(whole[: n_received % len(whole)], cut_points):
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

    def test_head_that_is_cut_anywhere(self):
        """Guards against a success whose head the replica never finished."""
        first = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
        for framing in (b"Content-Length: 4", b"Transfer-Encoding: chunked", b"X: y"):
            head = b"HTTP/1.1 200 OK\r\nId: 2\r\n" + framing + b"\r\n\r\n"
            for before, number in (b"", 2), (first, 1), (INTERIM_RESPONSE, 2):
                for n_received in range(len(head)):
                    with self.subTest(head=before + head[:n_received]):
                        end = asyncio.run(self.cut(before, number, head[:n_received]))
                        self.assertIsInstance(end, AttemptFailed)

    async def cut(self, before: bytes, number: int, head: bytes) -> object:
        """Return how an attempt ends whose response begins with `head` and no more."""
        pool = FakePool()
        pool.send(number)
        pool.feed(before)
        await asyncio.sleep(0)
        if pool.ends:
            pool.send(2)
        pool.feed(head)
        pool.conn.eof_received()
        pool.conn.connection_lost(None)
        await asyncio.sleep(0)
        return pool.ends[-1]

    @SEARCH_SETTINGS
    @given(data=st.binary(max_size=300), cut_points=cut_point_lists)
    def test_arbitrary_bytes(self, data, cut_points):
        """Guards against received bytes that end an attempt twice or raise."""

        async def run():
            pool = FakePool()
            pool.send(1)
            for piece in split_at(data, cut_points):
                pool.feed(piece)
            pool.conn.connection_lost(ConnectionResetError())
            await asyncio.sleep(0)
            return pool

        pool = asyncio.run(run())
        (end,) = pool.ends
        self.assertIsInstance(end, AttemptFailed)


class TestResponsesWithoutLength(unittest.TestCase):
    """A response without a length ends when the connection is closed."""

    def ends(self, error: Exception | None) -> list:
        """Return the events of an attempt whose response has no length.

        `error` ends the connection; None if the replica closes it.
        """

        async def run():
            pool = FakePool()
            pool.send(1)
            pool.feed(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody")
            if error is None:
                pool.conn.eof_received()
            pool.conn.connection_lost(error)
            await asyncio.sleep(0)
            return pool.ends

        return asyncio.run(run())

    def test_closed(self):
        """Guards against a failure for a response that ends with a regular close."""
        (end,) = self.ends(None)
        self.assertEqual(end.answer.body, b"body")

    def test_reset(self):
        """Guards against accepting a response that a reset may have truncated."""
        (end,) = self.ends(ConnectionResetError())
        self.assertIsInstance(end, AttemptFailed)


class TestConnectionOptions(unittest.TestCase):
    """A Connection header takes away hop-by-hop headers only."""

    def test_own_headers_of_the_platform(self):
        """Guards against an answer without its signature, or a request without id."""
        headers = (
            (b"Connection", b"close, Signature, Content-Type, X-Hop"),
            (b"Signature", b"s"),
            (b"Content-Type", b"text/plain"),
            (b"X-Hop", b"1"),
        )
        kept = end_to_end_headers(headers, frozenset({b"signature"}))
        self.assertEqual(kept, ((b"Signature", b"s"), (b"Content-Type", b"text/plain")))
