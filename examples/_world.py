"""Stand-ins and entry hosts of one example user, on loopback in one process."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import aiohttp

from jackdawsill.core import HostEntry
from jackdawsill.daemon import HostProcess
from jackdawsill.objects import ObjectSet, bundle_set, check_set
from jackdawsill.settings import HostSettings, PlatformSettings, Settings
from jackdawsill.standins import (
    LOOPBACK,
    BackendScript,
    BackendServer,
    ConfigService,
    HostList,
)

EXAMPLES = Path(__file__).resolve().parent
READY_TIMEOUT_S = 10.0
POLL_S = 0.02
MEDIAN_SERVICE_MS = 12.0
STRAGGLER_FRACTION = 0.01


class DemoFailed(Exception):
    """A claim of the demonstration does not hold, or not in time."""


@dataclass(slots=True, frozen=True)
class Reply:
    """Status and decoded body of a host's reply."""

    status: int
    body: dict[str, Any]


async def wait_until(
    description: str, condition: Callable[[], Any], limit_s: float
) -> float:
    """Poll an asynchronous condition; return the seconds until it was true.

    Raises DemoFailed after `limit_s`.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not await condition():
        if loop.time() - started_at > limit_s:
            raise DemoFailed(f"not within {limit_s:g} s: {description}")
        await asyncio.sleep(POLL_S)
    return loop.time() - started_at


class ExampleFleet:
    """Backend servers, platform services and three entry hosts of one user.

    `user` names the folder with the object set; the hosts are in `domains`.
    """

    def __init__(self, user: str, domains: tuple[str, str, str], seed: int) -> None:
        self.user = user
        self.domains = domains
        self.rng = random.Random(seed)
        self.config = ConfigService()
        self.host_list = HostList()
        self.backends: dict[str, BackendServer] = {}
        self.hosts: list[HostProcess] = []
        self.generation = 0
        self.objects: ObjectSet | None = None

    async def start(self, items: Callable[[str, str, dict], list[dict]]) -> float:
        """Start all servers and hosts; return the seconds until all hosts were ready.

        `items` returns the items of a shard's answer.
        """
        objects = check_set(EXAMPLES / self.user).objects
        await self.config.start()
        await self.host_list.start()
        for replica in objects.replicas.values():
            group = objects.groups[objects.services[replica.service].group]
            script = BackendScript(
                n_slots=group.n_slots,
                max_connections=group.max_connections,
                connect_ms=group.connect_ms,
                median_ms=MEDIAN_SERVICE_MS,
                straggler_fraction=STRAGGLER_FRACTION,
                items=items,
            )
            server = BackendServer(script, random.Random(self.rng.getrandbits(32)))
            await server.start()
            self.backends[replica.name] = server
        self.publish(self._with_loopback_addresses(objects))
        for index, domain in enumerate(self.domains):
            host = HostProcess(self._settings(f"{self.user}-{index + 1}", domain))
            self.hosts.append(host)
            await host.start()
        self.update_host_list()
        self.session = aiohttp.ClientSession()
        return await wait_until(
            f"all hosts of {self.user} are ready", self._all_ready, READY_TIMEOUT_S
        )

    async def stop(self) -> None:
        """Stop all hosts and servers."""
        if self.hosts:
            await self.session.close()
        for host in self.hosts:
            await host.stop()
        for server in self.backends.values():
            await server.stop()
        await self.config.stop()
        await self.host_list.stop()

    def publish(self, objects: ObjectSet) -> None:
        """Publish a set under the next generation."""
        self.generation += 1
        self.objects = objects
        self.config.publish(dict(bundle_set(objects, self.generation).items()))

    def update_host_list(self) -> None:
        """Set the platform's host list to the hosts that run."""
        self.host_list.set_entries(
            HostEntry(h.cfg.host.name, h.peer_address, h.cfg.host.failure_domain)
            for h in self.hosts
            if not h.exited.is_set()
        )

    def replicas(self, service: str) -> list[BackendServer]:
        """Return the backend servers of a service."""
        assert self.objects is not None
        return [self.backends[r.name] for r in self.objects.replicas_of(service)]

    async def query(
        self, index: int, route: str, caller: str, body: dict, **headers: str
    ) -> Reply:
        """Send a request of a caller to a host; `X_Ticket=...` sets header X-Ticket."""
        url = f"http://{self.hosts[index].caller_address}/v1/query/{route}"
        request_headers = {"Authorization": f"Bearer example-token-{caller}"}
        request_headers.update(
            (key.replace("_", "-"), value) for key, value in headers.items()
        )
        async with self.session.post(url, json=body, headers=request_headers) as resp:
            return Reply(resp.status, await resp.json())

    async def get_json(self, index: int, path: str) -> dict[str, Any]:
        """Return the decoded response to a GET request at a host's operator port."""
        url = f"http://{self.hosts[index].operator_address}{path}"
        async with self.session.get(url) as resp:
            return await resp.json()

    async def is_ready(self, index: int) -> bool:
        """Return whether the health check of a host succeeds."""
        url = f"http://{self.hosts[index].caller_address}/healthz"
        async with self.session.get(url) as resp:
            return resp.status == 200

    async def generations(self, *indexes: int) -> set[int]:
        """Return the accepted generations of the given hosts."""
        statuses = [await self.get_json(n, "/status") for n in indexes]
        return {status["host"]["generation"] for status in statuses}

    async def _all_ready(self) -> bool:
        return all([await self.is_ready(n) for n in range(len(self.hosts))])

    def _with_loopback_addresses(self, objects: ObjectSet) -> ObjectSet:
        """Return the set with the addresses of the running backend servers."""
        replicas = {
            name: replace(
                replica, address=LOOPBACK, port=self.backends[name].listener.port_
            )
            for name, replica in objects.replicas.items()
        }
        return replace(objects, replicas=replicas)

    def _settings(self, name: str, domain: str) -> Settings:
        host = HostSettings(
            name=name,
            failure_domain=domain,
            region=self.user,
            address=LOOPBACK,
            caller_port=0,
            operator_port=0,
            peer_port=0,
            fleet_key=f"key of the fleet of {self.user}",
        )
        platform = PlatformSettings(
            config_url=self.config.url, host_list_url=self.host_list.url
        )
        return Settings(host=host, platform=platform)
