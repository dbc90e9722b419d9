"""Tests of the backend server stand-in."""

import asyncio
import random
import unittest

import aiohttp

from jackdawsill.standins import BackendScript, BackendServer

WAIT_S = 20.0  # timeout of any wait; not reached when the test passes


class TestBackendServer(unittest.IsolatedAsyncioTestCase):
    """Scripted behaviour that other tests rely on."""

    async def asyncSetUp(self):
        self.server = BackendServer(BackendScript(n_slots=2, n_queue_max=1))
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.session = aiohttp.ClientSession(self.server.listener.url)
        self.addAsyncCleanup(self.session.close)

    async def post(self, request_id="r1", body=b"{}"):
        """Send a sub-request; return status and headers."""
        headers = {"X-Request-Id": request_id, "X-Snapshot": "s1", "X-Deadline-Ms": "9"}
        url = "/v1/shard/a01"
        async with self.session.post(url, data=body, headers=headers) as resp:
            await resp.read()
            return resp.status, resp.headers

    async def test_slots_and_queue(self):
        """Guards against running more than n_slots, and against an unbounded queue."""
        gate = self.server.gate = asyncio.Event()
        tasks = [asyncio.create_task(self.post(f"r{n}")) for n in range(10)]
        # Two run and one waits, so the other seven are shed.
        shed = 0
        for done in asyncio.as_completed(tasks):
            status, _ = await asyncio.wait_for(done, WAIT_S)
            shed += status == 429
            if shed == 7 and not gate.is_set():
                self.assertEqual(self.server.n_running_, 2)
                self.assertEqual(self.server.n_run_, 2)
                gate.set()
        self.assertEqual((shed, self.server.n_run_), (7, 3))
        self.assertEqual(self.server.n_running_, 0)

    async def test_cancel_frees_the_slot(self):
        """Guards against a cancelled sub-request that keeps its slot."""
        self.server.gate = asyncio.Event()
        task = asyncio.create_task(self.post("r1"))
        await asyncio.wait_for(self.server.run_started.wait(), WAIT_S)
        async with self.session.post("/v1/cancel/r1") as resp:
            self.assertEqual(resp.status, 200)
        self.assertEqual((await asyncio.wait_for(task, WAIT_S))[0], 499)
        self.assertEqual(self.server.n_running_, 0)
        async with self.session.post("/v1/cancel/r1") as resp:
            self.assertEqual(resp.status, 404)

    async def test_crash_and_restart(self):
        """Guards against a restart on another port, or with earlier work."""
        self.server.script.poison = b"boom"
        with self.assertRaises(aiohttp.ClientConnectionError):
            await self.post(body=b'{"q": "boom"}')
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.post()
        await self.server.start()
        self.assertEqual((await self.post())[0], 200)
        self.assertEqual((self.server.n_crashes_, self.server.n_run_), (1, 1))

    async def test_scripted_health_and_load(self):
        """Guards against /health and /load that ignore the script.

        Other tests need a replica whose health check and load contradict its state.
        """
        self.server.script.draining = True
        self.server.script.reported_running = 0
        async with self.session.get("/health") as resp:
            self.assertEqual(resp.status, 200)
        async with self.session.get("/load") as resp:
            self.assertEqual(await resp.json(), {"running": 0, "slots": 2})
        self.assertEqual((await self.post())[1]["X-Refusal"], "draining")

    def test_latencies_are_seeded(self):
        """Guards against service times that differ for the same seed.

        A failed test could then not be run again.
        """
        script = BackendScript(median_ms=5.0, straggler_fraction=0.2, n_cold=3)
        service_times = []
        for _ in range(2):
            server = BackendServer(script, random.Random(7))
            service_times.append([server._service_time_s() for _ in range(50)])
        self.assertEqual(service_times[0], service_times[1])
        # A straggler takes 10 times as long; 8 allows for the variance.
        self.assertGreater(max(service_times[0]), 8 * sorted(service_times[0])[25])
