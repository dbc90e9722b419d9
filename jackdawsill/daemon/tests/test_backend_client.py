"""Tests of the backend client over loopback."""

import asyncio
import socket
import unittest
from unittest import mock

import aiohttp

from jackdawsill.core import (
    NOT_RUN_KINDS,
    CancelSub,
    FailureKind,
    LoadReport,
    SendSub,
    SubAnswered,
    SubFailed,
)
from jackdawsill.daemon._backend_client import BackendClient
from jackdawsill.daemon.tests._fixtures import WAIT_S, ScriptedServer
from jackdawsill.standins import LOOPBACK, BackendServer, WrongAnswer

OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


class ClientCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a client that resolves a future for each outcome."""

    async def asyncSetUp(self):
        self.outcomes: dict[int, asyncio.Future] = {}
        self.n_events = 0
        self.n_subs = 0
        self.client = BackendClient(self.on_outcome, "tag-")
        await self.client.start()
        self.addAsyncCleanup(self.client.stop)
        self.backend = BackendServer()
        await self.backend.start()
        self.addAsyncCleanup(self.backend.stop)

    def on_outcome(self, sub, outcome):
        self.n_events += 1
        self.outcomes[outcome.sub_id].set_result(outcome)

    def send(self, address=None, *, timeout_s=WAIT_S, n_max=4, body=b"{}", **changes):
        """Send a sub-request; return its id."""
        self.n_subs += 1
        sub_id = self.n_subs
        self.outcomes[sub_id] = asyncio.get_running_loop().create_future()
        fields = {"repeatable": True, "shard": "s01", **changes}
        self.client.send(
            SendSub(
                sub_id,
                "r1",
                "archivo-01-a",
                address or self.backend.address,
                snapshot="arc-1",
                body=body,
                timeout_s=timeout_s,
                n_connections_max=n_max,
                **fields,
            )
        )
        return sub_id

    async def outcome(self, sub_id):
        """Wait for the outcome of a sub-request."""
        return await asyncio.wait_for(self.outcomes[sub_id], WAIT_S)

    async def kind(self, *args, **kwargs):
        """Send a sub-request that must fail; return the failure kind."""
        outcome = await self.outcome(self.send(*args, **kwargs))
        self.assertIsInstance(outcome, SubFailed)
        return outcome.kind


class TestAnswers(ClientCase):
    """Sub-requests that are answered."""

    async def test_answer(self):
        """Guards against fields of an answer that are lost."""
        self.backend.script.leaving = True
        outcome = await self.outcome(self.send())
        self.assertIsInstance(outcome, SubAnswered)
        self.assertEqual(outcome.request_id, "r1")
        self.assertEqual((outcome.snapshot, outcome.shard), ("arc-1", "s01"))
        self.assertEqual(outcome.load, LoadReport(0, 2))
        self.assertTrue(outcome.draining)

    async def test_deadline_header_is_below_the_remaining_time(self):
        """Guards against backend servers that work past the caller's deadline."""
        await self.outcome(self.send(timeout_s=10.0))
        self.assertLessEqual(self.backend.deadlines_ms_[0], 9_997)
        self.assertGreater(self.backend.deadlines_ms_[0], 0)

    async def test_connections_stay_within_the_limit(self):
        """Guards against a host that opens more connections than its share."""
        self.backend.script.n_slots = 50
        subs = [self.send(n_max=2) for _ in range(20)]
        for sub_id in subs:
            self.assertIsInstance(await self.outcome(sub_id), SubAnswered)
        self.assertLessEqual(self.backend.listener.server_.n_accepted_, 2)

    async def test_surplus_connections_are_closed_after_a_lower_limit(self):
        """Guards against a host that keeps more connections than its lowered limit.

        The replica would then refuse connections of other hosts.
        """
        self.backend.script.n_slots = 50
        for sub_id in [self.send(n_max=6) for _ in range(6)]:
            await self.outcome(sub_id)
        server = self.backend.listener.server_
        self.assertEqual(len(server.transports_), 6)
        for _ in range(8):
            await self.outcome(self.send(n_max=2))
        self.assertLessEqual(len(server.transports_), 2)
        self.assertLessEqual(server.n_accepted_, 7)

    async def test_wire_ids_differ(self):
        """Guards against a cancel that hits another sub-request of the same request."""
        for shard in ("s01", "s02"):
            await self.outcome(self.send(shard=shard))
        self.assertEqual(len({run.request_id for run in self.backend.runs_}), 2)


class TestNotRun(ClientCase):
    """Failure kinds that mean that a sub-request was not run."""

    async def test_refusals(self):
        """Guards against refusals of one kind classified as another."""
        script = self.backend.script
        for field, kind in (
            ("starting", FailureKind.STARTING),
            ("shed", FailureKind.SHED),
            ("draining", FailureKind.DRAINING),
        ):
            setattr(script, field, True)
            self.assertEqual(await self.kind(), kind)
            setattr(script, field, False)
        self.assertEqual(self.backend.n_run_, 0)

    async def test_decline_names_servable_snapshots(self):
        """Guards against a decline whose list of snapshots is lost."""
        self.backend.script.servable = frozenset({"arc-2", "arc-3"})
        outcome = await self.outcome(self.send())
        self.assertEqual(outcome.kind, FailureKind.DECLINED)
        self.assertEqual(outcome.servable, ("arc-2", "arc-3"))

    async def test_refused_at_the_cap(self):
        """Guards against a connection cap classified as a crash."""
        self.backend.script.max_connections = 0
        self.assertEqual(await self.kind(), FailureKind.CAP)

    async def test_connection_refused(self):
        """Guards against a dead replica classified as a crash by the request."""
        with socket.socket() as sock:
            sock.bind((LOOPBACK, 0))
            address = f"{LOOPBACK}:{sock.getsockname()[1]}"
            self.assertEqual(await self.kind(address), FailureKind.CONNECT)

    async def test_malformed_address(self):
        """Guards against an exception that leaves the client."""
        self.assertEqual(await self.kind("no host:x"), FailureKind.CONNECT)

    async def test_deadline_while_waiting_for_a_connection(self):
        """Guards against an unsent sub-request reported with outcome unknown."""
        self.backend.gate = asyncio.Event()
        first = self.send(n_max=1)
        await asyncio.wait_for(self.backend.run_started.wait(), WAIT_S)
        self.assertEqual(await self.kind(n_max=1, timeout_s=0.01), FailureKind.CONNECT)
        self.backend.gate.set()
        self.assertIsInstance(await self.outcome(first), SubAnswered)
        self.assertEqual(self.backend.n_run_, 1)

    async def test_expired_timeout_sends_nothing(self):
        """Guards against a connection that stays counted as used after an early end.

        The sub-request expires before its task runs.
        """
        for _ in range(5):
            await self.kind(n_max=1, timeout_s=0.0)
        outcome = await self.outcome(self.send(n_max=1))
        self.assertIsInstance(outcome, SubAnswered)


class TestOutcomeUnknown(ClientCase):
    """Failures after which the sub-request may have run."""

    async def scripted_server(self, *replies):
        """Start a server with scripted replies."""
        server = ScriptedServer(*replies)
        address = await server.start()
        self.addAsyncCleanup(server.stop)
        return server, address

    async def test_crash(self):
        """Guards against a crash during a request classified as not run."""
        self.backend.script.poison = b"boom"
        kind = await self.kind(body=b'{"q": "boom"}')
        self.assertEqual(kind, FailureKind.CRASH)
        self.assertNotIn(kind, NOT_RUN_KINDS)

    async def test_reused_connection_closed_without_answer(self):
        """Guards against a second run of a request that is not repeatable."""
        declined = b'HTTP/1.1 409 X\r\nContent-Length: 15\r\n\r\n{"servable":[]}'
        for repeatable in (False, True):
            server, address = await self.scripted_server(declined, None)
            self.assertEqual(await self.kind(address), FailureKind.DECLINED)
            kind = await self.kind(address, repeatable=repeatable)
            self.assertEqual(kind, FailureKind.CRASH)
            self.assertEqual(server.n_requests, 2)

    async def test_invalid_answers(self):
        """Guards against invalid answers that are merged or classified as not run."""
        for wrong in WrongAnswer:
            with self.subTest(wrong=wrong):
                self.backend.script.wrong = wrong
                self.assertEqual(await self.kind(), FailureKind.BAD_ANSWER)

    async def test_statuses_outside_the_interface(self):
        """Guards against a proxy's 503 or an unexpected 499 classified as not run."""
        for head in (
            b"HTTP/1.1 503 Busy\r\n",
            b"HTTP/1.1 503 Busy\r\nX-Refusal: lunch\r\n",
            b"HTTP/1.1 499 Cancelled\r\n",
            b"HTTP/1.1 409 Conflict\r\n",
            b"HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\n",
            b"HTTP/1.1 200 OK\r\n",
            b"nonsense\r\n",
        ):
            with self.subTest(head=head):
                _, address = await self.scripted_server(
                    head + b"Content-Length: 0\r\n\r\n"
                )
                self.assertEqual(await self.kind(address), FailureKind.BAD_ANSWER)

    async def test_endless_answer_is_aborted(self):
        """Guards against unbounded memory use by a body without length or end."""
        data = b"100000\r\n" + b"x" * 0x100000 + b"\r\n"
        body = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + data * 2
        _, address = await self.scripted_server(body)
        self.assertEqual(await self.kind(address), FailureKind.BAD_ANSWER)

    async def test_deadline_in_flight(self):
        """Guards against a late answer that causes a second event."""
        self.backend.gate = asyncio.Event()
        sub_id = self.send(timeout_s=0.05)
        self.assertEqual((await self.outcome(sub_id)).kind, FailureKind.TIMEOUT)
        self.backend.gate.set()
        self.assertIsInstance(await self.outcome(self.send()), SubAnswered)
        self.assertEqual(self.n_events, 2)


class TestCancel(ClientCase):
    """Cancellation by a cancel request."""

    async def test_connection_survives_a_cancel(self):
        """Guards against cancels that each cost a new connection."""
        self.backend.gate = asyncio.Event()
        sub_id = self.send()
        await asyncio.wait_for(self.backend.run_started.wait(), WAIT_S)
        self.client.cancel(CancelSub(sub_id))
        self.assertEqual((await self.outcome(sub_id)).kind, FailureKind.CANCELLED)
        self.backend.gate.set()
        await self.outcome(self.send())
        self.assertEqual(self.backend.n_cancelled_, 1)
        self.assertLessEqual(self.backend.listener.server_.n_accepted_, 2)
        self.assertEqual(len(self.backend.listener.server_.transports_), 2)

    async def test_cancel_of_a_waiting_sub_request(self):
        """Guards against a cancelled sub-request that is sent later."""
        self.backend.gate = asyncio.Event()
        first = self.send(n_max=1)
        second = self.send(n_max=1)
        self.client.cancel(CancelSub(second))
        self.assertEqual((await self.outcome(second)).kind, FailureKind.CANCELLED)
        self.backend.gate.set()
        await self.outcome(first)
        await self.outcome(self.send(n_max=1))
        self.assertEqual(self.backend.n_run_, 2)

    async def test_unknown_sub_request(self):
        """Guards against an exception from a cancel after the answer."""
        sub_id = self.send()
        await self.outcome(sub_id)
        self.client.cancel(CancelSub(sub_id))
        self.client.cancel(CancelSub(99))
        self.assertEqual(self.n_events, 1)


class TestSend(ClientCase):
    """Checks at the time of sending."""

    async def test_pause_while_connecting_sends_nothing(self):
        """Guards against a request sent after the deadline, after a process pause."""
        connect = aiohttp.TCPConnector.connect

        async def paused(connector, req, traces, timeout):
            conn = await connect(connector, req, traces, timeout)
            for sub in self.client._subs.values():
                sub.deadline_at = 0.0
            return conn

        with mock.patch.object(aiohttp.TCPConnector, "connect", paused):
            kind = await self.kind(repeatable=False)
        self.assertEqual(kind, FailureKind.CONNECT)
        self.assertEqual(self.backend.n_arrived_, 0)

    async def test_draining_header_on_a_refusal(self):
        """Guards against a draining header that is ignored on a refusal."""
        self.backend.script.shed = True
        self.backend.script.leaving = True
        outcome = await self.outcome(self.send())
        self.assertTrue(outcome.draining)
