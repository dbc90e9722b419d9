"""Statuses that HTTP/1.1 does not have are no answer, wherever they come from."""

import asyncio
import unittest

from jackdawsill.core import FailureKind
from jackdawsill.forwarding import AttemptAnswered, AttemptFailed
from jackdawsill.http1 import ExchangeFailed
from jackdawsill.http1._keep_alive_client import _KeepAliveConnection
from jackdawsill.http1.tests._fakes import FakePool, FakeTransport

INVALID_STATUSES = (b"000", b"001", b"099", b"600", b"777", b"999")
VALID_STATUSES = (b"200", b"299", b"404", b"421", b"500", b"599")
BODIES = {
    "with length": b"Content-Length: 2\r\n\r\nok",
    "in chunks": b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "until the connection ends": b"\r\nok",
}


def encode_head(status: bytes) -> bytes:
    """Return the first line and the id of a response to request 1."""
    return b"HTTP/1.1 " + status + b" X\r\nId: 1\r\n"


class TestStatusesOfReplicas(unittest.IsolatedAsyncioTestCase):
    """An attempt fails at once when the status is none of HTTP/1.1."""

    async def receive(self, pool: FakePool, data: bytes, **attempt) -> None:
        """Send an attempt and receive bytes."""
        pool.send(1, **attempt)
        pool.feed(data)
        await asyncio.sleep(0)

    async def test_invalid(self):
        """Guards against status 000 that is passed on, or taken for an interim one."""
        for status in INVALID_STATUSES:
            for name, body in BODIES.items():
                for attempt in ({}, {"method": b"HEAD"}, {"is_delegated": True}):
                    with self.subTest(status=status, body=name, **attempt):
                        pool = FakePool()
                        await self.receive(pool, encode_head(status) + body, **attempt)
                        (end,) = pool.ends
                        self.assertIsInstance(end, AttemptFailed)
                        self.assertIs(end.kind, FailureKind.BAD_ANSWER)
                        self.assertFalse(pool.is_reusable)

    async def test_on_a_reused_connection(self):
        """Guards against the same after a complete answer."""
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                pool = FakePool()
                await self.receive(
                    pool, encode_head(b"200") + BODIES["with length"], is_delegated=True
                )
                await self.receive(pool, encode_head(status) + BODIES["with length"])
                self.assertIsInstance(pool.ends[0], AttemptAnswered)
                self.assertIsInstance(pool.ends[1], AttemptFailed)

    async def test_valid(self):
        """Guards against answers that are refused with the invalid ones."""
        for status in VALID_STATUSES:
            with self.subTest(status=status):
                pool = FakePool()
                await self.receive(pool, encode_head(status) + BODIES["with length"])
                (end,) = pool.ends
                self.assertEqual(end.answer.status, int(status))

    async def test_interim(self):
        """Guards against interim responses that end the attempt."""
        for status in (b"100", b"102", b"103", b"199"):
            with self.subTest(status=status):
                pool = FakePool()
                head = b"HTTP/1.1 " + status + b" X\r\n\r\n"
                answer = encode_head(b"200") + BODIES["with length"]
                await self.receive(pool, head + answer)
                (end,) = pool.ends
                self.assertEqual(end.answer.status, 200)


class TestStatusesOfTheStore(unittest.IsolatedAsyncioTestCase):
    """A request to the store fails at once when the status is none of HTTP/1.1."""

    async def test_invalid(self):
        """Guards against a store's status 000 that is waited for or read."""
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                conn = _KeepAliveConnection()
                conn.transport = FakeTransport()
                fut = conn.response = asyncio.get_running_loop().create_future()
                conn.data_received(encode_head(status) + BODIES["with length"])
                self.assertTrue(fut.done())
                self.assertIsInstance(fut.exception(), ExchangeFailed)
                self.assertTrue(conn.transport.closed)


class TestTrailersOfTheStore(unittest.IsolatedAsyncioTestCase):
    """Fields after a body are no headers of the answer."""

    async def test_trailer(self):
        """Guards against an answer of the store whose era a trailer changes."""
        conn = _KeepAliveConnection()
        conn.transport = FakeTransport()
        fut = conn.response = asyncio.get_running_loop().create_future()
        head = b"HTTP/1.1 200 OK\r\nEra: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        conn.data_received(head + b"2\r\nok\r\n0\r\nEra: 2\r\n\r\n")
        self.assertEqual(fut.result().headers[b"era"], b"1")
