"""Tests of a host over loopback."""

import random
import unittest
from types import SimpleNamespace

import aiohttp

from jackdawsill.daemon import HostProcess
from jackdawsill.daemon.tests._scatter import TOKEN, Scatter, object_set
from jackdawsill.standins import BackendServer


def settings(name: str = "h1") -> SimpleNamespace:
    """Return settings with ports chosen by the kernel."""
    host = SimpleNamespace(
        name=name,
        failure_domain="bogota",
        region="andes",
        address="127.0.0.1",
        caller_port=0,
        operator_port=0,
        peer_port=0,
        fleet_key="k",
    )
    return SimpleNamespace(host=host)


class TestQueryOverHttp(unittest.IsolatedAsyncioTestCase):
    """Guards the path from a caller through the reducer to backend servers."""

    async def asyncSetUp(self):
        self.backends = [BackendServer() for _ in range(5)]
        for backend in self.backends:
            await backend.start()
            self.addAsyncCleanup(backend.stop)
        self.scatter = Scatter()
        self.scatter.patch.start()
        self.addCleanup(self.scatter.patch.stop)
        self.host = HostProcess(settings(), rng=random.Random(1))
        self.host.state.objects_ = object_set([b.address for b in self.backends])
        await self.host.start()
        self.addAsyncCleanup(self.host.stop)
        self.session = aiohttp.ClientSession(f"http://{self.host.caller_address}")
        self.addAsyncCleanup(self.session.close)

    async def test_answer_covers_all_shards(self):
        """Guards against a host that cannot answer a query at all."""
        async with self.session.post(
            "/v1/query/dielines",
            json={"text": "box"},
            headers={"Authorization": f"Bearer {TOKEN}", "X-Request-Id": "r1"},
        ) as resp:
            answer = await resp.json()
        self.assertEqual(resp.status, 200, answer)
        self.assertEqual(answer["request_id"], "r1")
        self.assertTrue(answer["complete"])
        self.assertEqual(answer["covered"], ["s00", "s01", "s02", "s03", "s04"])
        self.assertEqual(len(answer["items"]), 5)
