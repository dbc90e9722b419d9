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
from jackdawsill.daemon.tests._fixtures import WAIT_S, HostCase
from jackdawsill.daemon.tests._scatter import TOKEN
from jackdawsill.settings import LimitSettings
from jackdawsill.standins import WrongAnswer


class TestQueryOverHttp(HostCase):
    """Guards the path from a caller through the reducer to backend servers."""

    async def test_answer_covers_all_shards(self):
        """Guards against a host that cannot answer a query at all."""
        status, answer = await self.query(X_Request_Id="r1")
        self.assertEqual(status, 200, answer)
        self.assertEqual(answer["request_id"], "r1")
        self.assertTrue(answer["complete"])
        self.assertEqual(answer["covered"], ["s00", "s01", "s02"])
        self.assertEqual(len(answer["items"]), 3)

    async def test_wrong_answer_is_not_covered(self):
        """Guards against coverage that names a shard whose answer was discarded."""
        self.backends[1].script.wrong = WrongAnswer.OTHER_REQUEST
        _, answer = await self.query()
        self.assertEqual(answer["covered"], ["s00", "s02"])
        self.assertEqual(answer["missing"], [{"shard": "s01", "reason": "bad_answer"}])

    async def test_each_caller_gets_its_own_answer(self):
        """Guards against answers that change places when they come out of order."""
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

    async def test_caller_that_leaves_cancels_its_work(self):
        """Guards against backend work that goes on for a caller that has left."""
        for backend in self.backends:
            backend.gate = asyncio.Event()
        cancelled = asyncio.Event()
        before = HANDLERS[CallerDisconnected][0]

        def on_left(state, event, now):
            cancelled.set()
            return before(state, event, now)

        HANDLERS[CallerDisconnected] = [on_left]
        task = asyncio.create_task(self.query())
        await asyncio.wait_for(self.backends[0].run_started.wait(), WAIT_S)
        task.cancel()
        await asyncio.wait_for(cancelled.wait(), WAIT_S)

    async def test_failed_handler_gives_a_typed_refusal(self):
        """Guards against a caller that waits for ever after a fault in a handler."""
        HANDLERS[QueryArrived] = [lambda state, event, now: 1 / 0]
        status, answer = await self.query()
        self.assertEqual(status, 500)
        self.assertEqual(answer["error"]["name"], "InternalFault")
        self.assertEqual(answer["error"]["outcome"], "not_run")
        HANDLERS[QueryArrived] = [self.scatter.on_query]
        self.assertEqual((await self.query())[0], 200)

    async def test_request_without_reply_is_answered(self):
        """Guards against a caller that waits for ever for a lost reply."""
        HANDLERS[QueryArrived] = [lambda state, event, now: []]
        self.host.callers.reply_limit_s = 0.01
        status, answer = await asyncio.wait_for(self.query(), WAIT_S)
        self.assertEqual(status, 504)
        self.assertEqual(answer["error"]["outcome"], "outcome_unknown")

    async def test_full_host_refuses(self):
        """Guards against requests in hand without bound."""
        self.host.callers.limits = LimitSettings(
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
        """Guards against callers that keep connections to a host that stops."""
        url = "/v1/query/dielines"
        headers = {"Authorization": f"Bearer {TOKEN}"}
        for ready, connection in ((True, "keep-alive"), (False, "close")):
            self.host.callers.ready_ = ready
            async with self.session.post(url, data=b"{}", headers=headers) as resp:
                self.assertEqual(resp.status, 200)
                self.assertEqual(resp.headers["Connection"], connection)


class TestStop(HostCase):
    """Guards against requests that a stop cuts off."""

    async def test_exit_writes_replies_in_hand(self):
        """Guards against a reply that is lost because the host exits with it."""
        gate = self.backends[0].gate = asyncio.Event()
        task = asyncio.create_task(self.query())
        await asyncio.wait_for(self.backends[0].run_started.wait(), WAIT_S)
        deliver = self.scatter.on_answered

        def answer_then_exit(state, event, now):
            effects = deliver(state, event, now)
            if effects:
                effects.extend(HANDLERS[StopRequested][0](state, event, now))
            return effects

        HANDLERS[SubAnswered] = [answer_then_exit]
        gate.set()
        status, answer = await asyncio.wait_for(task, WAIT_S)
        self.assertEqual(status, 200)
        self.assertTrue(answer["complete"])
        await asyncio.wait_for(self.host.exited.wait(), WAIT_S)

    async def test_stop_refuses_waiting_callers_truthfully(self):
        """Guards against a hard stop that says not_run of work that was sent."""
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
