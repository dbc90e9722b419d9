"""Tests of three hosts with all real components over loopback."""

import asyncio
import random
import unittest
from dataclasses import replace

import aiohttp

from jackdawsill.core import HostEntry, SetReadiness
from jackdawsill.daemon import HostProcess
from jackdawsill.daemon.tests._fake_query import TOKEN, object_set
from jackdawsill.daemon.tests._fixtures import WAIT_S, settings
from jackdawsill.objects import bundle_set
from jackdawsill.settings import PlatformSettings
from jackdawsill.standins import BackendServer, ConfigService, HostList


class TestFleet(unittest.IsolatedAsyncioTestCase):
    """From a published object set to answers and tickets on all hosts."""

    async def asyncSetUp(self):
        self.config, self.host_list = ConfigService(), HostList()
        self.backends = [BackendServer() for _ in range(3)]
        for standin in (self.config, self.host_list, *self.backends):
            await standin.start()
            self.addAsyncCleanup(standin.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.ready = []
        self.hosts = [await self.start_host(n) for n in range(3)]
        self.host_list.set_entries(
            HostEntry(h.cfg.host.name, h.peer_address, h.cfg.host.failure_domain)
            for h in self.hosts
        )

    async def start_host(self, n):
        """Start a host whose readiness sets an event."""
        platform = PlatformSettings(
            config_url=self.config.url, host_list_url=self.host_list.url
        )
        cfg = replace(settings(f"h{n}"), platform=platform)
        host = HostProcess(cfg, rng=random.Random(n))
        await host.start()
        self.addAsyncCleanup(host.stop)
        ready = asyncio.Event()
        self.ready.append(ready)

        def set_readiness(effect):
            host.caller_server.set_readiness(effect)
            if effect.ready:
                ready.set()

        host.driver.effect_handlers[SetReadiness] = set_readiness
        return host

    async def publish(self, objects):
        """Publish an object set and wait until all hosts are ready."""
        self.config.publish(dict(bundle_set(objects, 1).items()))
        for ready in self.ready:
            await asyncio.wait_for(ready.wait(), WAIT_S)

    async def query(self, n, **headers):
        """Send a request through a host."""
        url = f"http://{self.hosts[n].caller_address}/v1/query/dielines"
        sent = {"Authorization": f"Bearer {TOKEN}", "X-Deadline-Ms": "9000"}
        sent.update((key.replace("_", "-"), value) for key, value in headers.items())
        async with self.session.post(url, data=b'{"q": 1}', headers=sent) as resp:
            return resp.status, await resp.json()

    async def test_all_hosts_answer_from_the_published_set(self):
        """Guards against hosts that cannot join, load the set or answer queries."""
        await self.publish(object_set([b.address for b in self.backends]))
        for n in range(3):
            status, answer = await self.query(n)
            self.assertEqual(status, 200, answer)
            self.assertEqual(answer["covered"], ["s00", "s01", "s02"])

    async def test_ticket_runs_once_through_any_host(self):
        """Guards against a second run of a request that is sent again elsewhere."""
        await self.publish(object_set([self.backends[0].address], repeatable=False))
        status, refusal = await self.query(0)
        self.assertEqual(status, 428)
        replies = [await self.query(n, X_Ticket=refusal["ticket"]) for n in (1, 0, 2)]
        self.assertEqual([status for status, _ in replies], [200, 200, 200])
        self.assertEqual(len({str(answer["items"]) for _, answer in replies}), 1)
        self.assertEqual(self.backends[0].n_run_, 1)
