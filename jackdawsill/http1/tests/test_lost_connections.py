"""Connections to replicas that are lost before the response is complete."""

import asyncio
import unittest

from jackdawsill.core import FailureKind
from jackdawsill.forwarding import AttemptFailed
from jackdawsill.http1.tests._fakes import FakePool
from jackdawsill.http1.tests.test_connection import (
    EXTRA_RESPONSE,
    INTERIM_RESPONSE,
    encode_response,
)


class TestLostConnections(unittest.TestCase):
    """A connection lost before the response is complete is a possible crash."""

    def end(self, before: list[bytes]) -> AttemptFailed:
        """Return how the last attempt ends if its connection is lost.

        `before` holds what is received first: the responses to earlier attempts, then
        what precedes the response to the last one.
        """

        async def run():
            pool = FakePool()
            *responses, extra = before
            for number, response in enumerate(responses, 1):
                pool.send(number)
                pool.feed(response)
                await asyncio.sleep(0)
            pool.send(len(before))
            pool.feed(extra)
            pool.conn.eof_received()
            pool.conn.connection_lost(None)
            await asyncio.sleep(0)
            return pool.ends

        ends = asyncio.run(run())
        self.assertEqual(len(ends), len(before))
        return ends[-1]

    def test_reused_connection(self):
        """Guards against a crash on a reused connection that counts as a bad answer.

        The state of the response before must not count as the beginning of this one.
        """
        chunked = encode_response(1, b"one", chunked=True)
        refused = b"HTTP/1.1 503 No\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
        for first in encode_response(1, b"one"), chunked, refused:
            with self.subTest(first=first):
                end = self.end([first, b""])
                self.assertEqual(end.kind, FailureKind.CRASH)
                self.assertEqual(end.detail, "connection closed")

    def test_after_an_interim_response(self):
        """Guards against a crash after a 1xx response that counts as a bad answer."""
        end = self.end([INTERIM_RESPONSE])
        self.assertEqual(end.kind, FailureKind.CRASH)
        end = self.end([encode_response(1, b"one"), INTERIM_RESPONSE])
        self.assertEqual(end.kind, FailureKind.CRASH)

    def test_after_a_late_response(self):
        """Guards against a crash after a foreign answer that counts as a bad answer."""
        end = self.end([encode_response(1, b"one"), EXTRA_RESPONSE])
        self.assertEqual(end.kind, FailureKind.CRASH)

    def test_during_the_response(self):
        """Guards against a crash in the middle of an answer that is no evidence."""
        whole = encode_response(2, b"second")
        for n_missing in 1, 3, len(b"second"):
            with self.subTest(n_missing=n_missing):
                end = self.end([encode_response(1, b"one"), whole[:-n_missing]])
                self.assertEqual(end.kind, FailureKind.CRASH)
                self.assertIn("during the response", end.detail)
