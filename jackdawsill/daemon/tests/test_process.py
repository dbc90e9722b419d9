"""Tests of a host over loopback."""

import asyncio

import aiohttp

from jackdawsill.core import (
    HANDLERS,
    CallerDisconnected,
    QueryArrived,
    StopRequested,
    SubAnswered,
)
from jackdawsill.daemon.tests._fake_query import TOKEN
from jackdawsill.daemon.tests._fixtures import WAIT_S, HostCase
from jackdawsill.settings import LimitSettings
from jackdawsill.standins import WrongAnswer


class TestQueryOverHttp(HostCase):
    """Path from a caller through the reducer to backend servers."""

    async def test_answer_covers_all_shards(self):
        """Guards against an answer without a shard, an item or the request id."""
        status, answer = await self.query(X_Request_Id="r1")
        self.assertEqual(status, 200, answer)
        self.assertEqual(answer["request_id"], "r1")
        self.assertTrue(answer["complete"])
        self.assertEqual(answer["covered"], ["s00", "s01", "s02"])
        self.assertEqual(len(answer["items"]), 3)

    async def test_wrong_answer_is_not_covered(self):
        """Guards against coverage that includes a shard with a discarded answer."""
        self.backends[1].script.wrong = WrongAnswer.OTHER_REQUEST
        _, answer = await self.query()
        self.assertEqual(answer["covered"], ["s00", "s02"])
        self.assertEqual(answer["missing"], [{"shard": "s01", "reason": "bad_answer"}])

    async def test_each_caller_gets_its_own_answer(self):
        """Guards against answers that are swapped when they finish out of order."""
        self.backends[0].script.n_slots = 8
        gate = self.backends[0].gate = asyncio.Event()
        bodies = [b'{"n": %d}' % n for n in range(8)]
        tasks = [
            asyncio.create_task(self.query(body, X_Request_Id=f"r{n}"))
            for n, body in enumerate(bodies)
        ]
        await asyncio.wait_for(self.backends[0].run_started.wait(), WAIT_S)
        gate.set()
        got = [answer["request_id"] for _, answer in await asyncio.gather(*tasks)]
        self.assertEqual(got, [f"r{n}" for n in range(8)])

    async def test_disconnected_caller_cancels_its_query(self):
        """Guards against a disconnect of a caller that is not reported to the reducer.

        The sub-requests of the caller would run on.
        """
        for backend in self.backends:
            backend.gate = asyncio.Event()
        cancelled = asyncio.Event()
        original = HANDLERS[CallerDisconnected][0]

        def on_disconnected(state, event, now):
            cancelled.set()
            return original(state, event, now)

        HANDLERS[CallerDisconnected] = [on_disconnected]
        task = asyncio.create_task(self.query())
        await asyncio.wait_for(self.backends[0].run_started.wait(), WAIT_S)
        task.cancel()
        await asyncio.wait_for(cancelled.wait(), WAIT_S)

    async def test_failed_handler_gives_a_typed_refusal(self):
        """Guards against a caller that waits forever after a handler failed."""
        HANDLERS[QueryArrived] = [lambda state, event, now: 1 / 0]
        status, answer = await self.query()
        self.assertEqual(status, 500)
        self.assertEqual(answer["error"]["name"], "InternalFault")
        self.assertEqual(answer["error"]["outcome"], "not_run")
        HANDLERS[QueryArrived] = [self.query_handlers.on_query]
        self.assertEqual((await self.query())[0], 200)

    async def test_request_without_reply_is_answered(self):
        """Guards against a caller that waits forever for a lost reply."""
        HANDLERS[QueryArrived] = [lambda state, event, now: []]
        self.host.caller_server.reply_timeout_s = 0.01
        status, answer = await asyncio.wait_for(self.query(), WAIT_S)
        self.assertEqual(status, 504)
        self.assertEqual(answer["error"]["outcome"], "outcome_unknown")

    async def test_full_host_refuses(self):
        """Guards against an unbounded number of requests in progress."""
        self.host.caller_server.limits = LimitSettings(
            max_running_queries=1, max_queued_queries=0
        )
        gate = self.backends[0].gate = asyncio.Event()
        task = asyncio.create_task(self.query())
        await asyncio.wait_for(self.backends[0].run_started.wait(), WAIT_S)
        status, answer = await self.query()
        self.assertEqual((status, answer["error"]["name"]), (429, "HostBusy"))
        self.assertEqual(answer["error"]["outcome"], "not_run")
        gate.set()
        self.assertEqual((await task)[0], 200)

    async def test_host_that_is_not_ready_closes_connections(self):
        """Guards against callers that keep connections to a stopping host."""
        url = "/v1/query/dielines"
        headers = {"Authorization": f"Bearer {TOKEN}"}
        for ready, connection in ((True, "keep-alive"), (False, "close")):
            self.host.caller_server.ready_ = ready
            async with self.session.post(url, data=b"{}", headers=headers) as resp:
                self.assertEqual(resp.status, 200)
                self.assertEqual(resp.headers["Connection"], connection)


class TestStop(HostCase):
    """Requests during a stop of the host."""

    async def test_exit_writes_pending_replies(self):
        """Guards against a reply that is lost when the host exits right after it."""
        gate = self.backends[0].gate = asyncio.Event()
        task = asyncio.create_task(self.query())
        await asyncio.wait_for(self.backends[0].run_started.wait(), WAIT_S)
        on_answered = self.query_handlers.on_answered

        def answer_then_exit(state, event, now):
            effects = on_answered(state, event, now)
            if effects:
                effects.extend(HANDLERS[StopRequested][0](state, event, now))
            return effects

        HANDLERS[SubAnswered] = [answer_then_exit]
        gate.set()
        status, answer = await asyncio.wait_for(task, WAIT_S)
        self.assertEqual(status, 200)
        self.assertTrue(answer["complete"])
        await asyncio.wait_for(self.host.exited.wait(), WAIT_S)

    async def test_immediate_stop_refuses_with_outcome_unknown(self):
        """Guards against a stop that reports not_run for work that was sent."""
        self.backends[0].gate = asyncio.Event()
        task = asyncio.create_task(self.query())
        await asyncio.wait_for(self.backends[0].run_started.wait(), WAIT_S)
        await self.host.stop()
        status, answer = await asyncio.wait_for(task, WAIT_S)
        self.assertEqual(status, 503)
        self.assertEqual(answer["error"]["outcome"], "outcome_unknown")

    async def test_port_is_closed_after_stop(self):
        """Guards against a stopped host that still takes requests."""
        await self.query()
        self.host.request_stop()
        await asyncio.wait_for(self.host.exited.wait(), WAIT_S)
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.query()
