"""Bodies in chunks of a few bytes take no more memory than bodies in large ones."""

import asyncio
import gc
import tracemalloc
import unittest
from collections.abc import Callable

from jackdawsill.forwarding import CallerLimits
from jackdawsill.http1 import ExchangeFailed
from jackdawsill.http1._bounds import MAX_HEADERS
from jackdawsill.http1._caller_connection import CallerConnection
from jackdawsill.http1._keep_alive_client import _KeepAliveConnection
from jackdawsill.http1._server import CallServer
from jackdawsill.http1.tests._fakes import FakePool, FakeTransport

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKS = {
    "one byte": b"1\r\na\r\n",
    "two bytes": b"2\r\nab\r\n",
    "three bytes": b"3\r\nabc\r\n",
}
N_BODY_BYTES = 256 * 1024
BLOCK_CHUNKS = 4096
# An unfinished body may be copied once while it grows.
MAX_COPIES = 2
SLACK_BYTES = 128 * 1024  # parser, head and the block that is fed


def peak_bytes(run: Callable[[], None]) -> int:
    """Return by how much the traced memory rose while a function ran."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        run()
        return tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()


def kept_bytes(run: Callable[[], None]) -> int:
    """Return by how much the traced memory has risen after a function, without gc."""
    gc.disable()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        run()
        return tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
        gc.enable()


def make_caller_connection(max_body_bytes: int) -> CallerConnection:
    """Return a caller's connection that has sent the head of a chunked request."""
    limits = CallerLimits(max_body_bytes=max_body_bytes)

    def unexpected(*args):
        raise AssertionError("the request is not complete")

    server = CallServer(
        unexpected, unexpected, lambda: limits, int, unexpected, lambda: 0.0
    )
    conn = CallerConnection(server)
    conn.connection_made(FakeTransport())
    conn.data_received(b"POST /x HTTP/1.1\r\n" + CHUNKED)
    return conn


def feed_chunks(feed: Callable[[bytes], None], chunk: bytes) -> None:
    """Feed N_BODY_BYTES of an unfinished body in blocks of small chunks."""
    block = chunk * BLOCK_CHUNKS
    for _ in range(N_BODY_BYTES // (int(chunk[:1]) * BLOCK_CHUNKS)):
        feed(block)


class TestSmallChunks(unittest.TestCase):
    """The memory of an unfinished body follows its size, not its number of chunks."""

    def check(self, feed: Callable[[bytes], None], chunk: bytes) -> None:
        """Check the peak memory of an unfinished body."""
        peak = peak_bytes(lambda: feed_chunks(feed, chunk))
        self.assertLess(peak, MAX_COPIES * N_BODY_BYTES + SLACK_BYTES)

    def test_answer_of_a_replica(self):
        """Guards against answers in small chunks that exceed the host's memory."""
        for name, chunk in CHUNKS.items():
            with self.subTest(name):
                pool = FakePool()
                pool.send(1)
                pool.feed(b"HTTP/1.1 200 OK\r\nId: 1\r\n" + CHUNKED)
                self.check(pool.feed, chunk)
                self.assertEqual(pool.ends, [])
                pool.conn.close()

    def test_answer_of_the_store(self):
        """Guards against pages of the store in small chunks that exceed the memory."""
        for name, chunk in CHUNKS.items():
            with self.subTest(name):
                loop = asyncio.new_event_loop()
                conn = _KeepAliveConnection()
                conn.transport = FakeTransport()
                conn.response = loop.create_future()
                conn.data_received(b"HTTP/1.1 200 OK\r\n" + CHUNKED)
                self.check(conn.data_received, chunk)
                self.assertFalse(conn.response.done())
                loop.close()

    def test_request_of_a_caller(self):
        """Guards against requests in small chunks that exceed the host's memory."""
        for name, chunk in CHUNKS.items():
            with self.subTest(name):
                conn = make_caller_connection(2 * N_BODY_BYTES)
                self.check(conn.data_received, chunk)


class TestReleasedMemory(unittest.TestCase):
    """A closed connection keeps nothing of a body until it is collected."""

    def test_failed_answer(self):
        """Guards against closed connections that keep the body that was too large."""
        pool = FakePool()
        pool.send(1)
        pool.feed(b"HTTP/1.1 200 OK\r\nId: 1\r\n" + CHUNKED)

        def fail():
            block = CHUNKS["three bytes"] * BLOCK_CHUNKS
            while not pool.ends:
                pool.feed(block)

        self.assertLess(kept_bytes(fail), SLACK_BYTES)

    def test_caller_that_left(self):
        """Guards against closed connections that keep an unfinished request."""
        conn = make_caller_connection(2 * N_BODY_BYTES)

        def leave():
            feed_chunks(conn.data_received, CHUNKS["one byte"])
            conn.connection_lost(None)

        self.assertLess(kept_bytes(leave), SLACK_BYTES)


class TestManyHeaderFields(unittest.TestCase):
    """Small header fields are refused as soon as there are too many of them."""

    def test_answer_of_a_replica(self):
        """Guards against heads that take many times their size until they end."""
        pool = FakePool()
        pool.send(1)
        pool.feed(b"HTTP/1.1 200 OK\r\n")
        pool.feed(b"a:b\r\n" * (MAX_HEADERS + 2))
        self.assertEqual(len(pool.ends), 1)

    def test_answer_of_the_store(self):
        """Guards against the same in answers of the store."""
        loop = asyncio.new_event_loop()
        conn = _KeepAliveConnection()
        conn.transport = FakeTransport()
        fut = conn.response = loop.create_future()
        conn.data_received(b"HTTP/1.1 200 OK\r\n")
        fields = (b"a%d:b\r\n" % i for i in range(MAX_HEADERS + 2))
        conn.data_received(b"".join(fields))
        self.assertIsInstance(fut.exception(), ExchangeFailed)
        self.assertTrue(conn.transport.closed)
        loop.close()
