"""Processes of one measured system: backend servers, platform and entry hosts."""

import asyncio
import os
import tempfile
import time
from dataclasses import dataclass
from typing import Any

import aiohttp

from benchmarks._child import Child
from benchmarks._load import Generator, summarize
from benchmarks._sets import (
    DOMAINS,
    ROUTE,
    TOKEN,
    Shape,
    object_set,
    replica_names,
)
from jackdawsill.core import HostEntry
from jackdawsill.objects import ObjectSet, bundle_set
from jackdawsill.standins import ConfigService, HostList

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
N_HOSTS = 3
# Each process uses under half a core in any scenario; more processes would lengthen the
# start.
N_BACKEND_PROCESSES = 2
READY_LIMIT_S = 15.0
WARM_UP_S = 1.5


@dataclass(slots=True, frozen=True)
class Variant:
    """System under test: entry hosts of the checkout `tree`, or the plain fan-out."""

    name: str
    tree: str = ROOT
    is_plain: bool = False


class World:
    """Running system of one variant; `async with` starts and stops it.

    With `split_config`, only the first host reads new sets from the configuration
    service.
    """

    def __init__(
        self, shape: Shape, variant: Variant, seed: int, *, split_config: bool = False
    ) -> None:
        self.shape = shape
        self.variant = variant
        self.seed = seed
        self.split_config = split_config
        self.config = ConfigService()
        # Never gets a set after the first; read by the other hosts with `split_config`.
        self.stale_config = ConfigService()
        self.host_list = HostList()
        self.backends = [
            Child("_backend_program.py", ROOT) for _ in range(N_BACKEND_PROCESSES)
        ]
        program = "_plain_program.py" if variant.is_plain else "_host_program.py"
        self.hosts = [Child(program, variant.tree) for _ in range(N_HOSTS)]
        self.addresses: list[dict[str, str]] = []
        self.objects: ObjectSet | None = None
        self.generation = 0
        self.log_dir = tempfile.TemporaryDirectory(prefix="jackdawsill-bench-")

    async def __aenter__(self) -> "World":
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stop()

    async def _start(self) -> None:
        for number, child in enumerate([*self.backends, *self.hosts]):
            await child.start(os.path.join(self.log_dir.name, f"{number}.log"))
        names = replica_names(self.shape)
        orders = {"n_slots": 3, "max_connections": 200, "median_ms": 5.0}
        replies = await asyncio.gather(
            *(
                child.call(
                    "start",
                    replicas={
                        n: orders if n.startswith("orders") else self.shape.script()
                        for n in names[k :: len(self.backends)]
                    },
                    seed=self.seed + k,
                )
                for k, child in enumerate(self.backends)
            )
        )
        ports = {name: port for reply in replies for name, port in reply.items()}
        self.objects = object_set(self.shape, ports)
        if self.variant.is_plain:
            await self._start_plain()
        else:
            await self._start_hosts()
        callers = [a["caller"] for a in self.addresses]
        self.generator = Generator(
            callers, ROUTE, TOKEN, self.shape.n_services, self.seed
        )
        await self.generator.start()

    async def _start_plain(self) -> None:
        snapshot = self.objects.snapshots_of(self.shape.name)[0]
        shards = [
            (
                shard.name,
                [
                    f"{replica.address}:{replica.port}"
                    for replica in self.objects.replicas_of(shard.service)
                ],
            )
            for shard in snapshot.shards
        ]
        self.addresses = await asyncio.gather(
            *(
                h.call("start", snapshot=snapshot.name, shards=shards)
                for h in self.hosts
            )
        )

    async def _start_hosts(self) -> None:
        for service in (self.config, self.stale_config, self.host_list):
            await service.start()
        self.publish(self.objects)
        self.stale_config.publish(dict(bundle_set(self.objects, 1).items()))
        for k, host in enumerate(self.hosts):
            config = self.stale_config if self.split_config and k else self.config
            address = await host.call(
                "start",
                name=f"host-{k}",
                failure_domain=DOMAINS[k],
                config_url=config.url,
                host_list_url=self.host_list.url,
            )
            self.addresses.append(address)
        self.host_list.set_entries(
            HostEntry(f"host-{k}", a["peer"], DOMAINS[k])
            for k, a in enumerate(self.addresses)
        )
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        """Wait until all hosts are ready and linked to each other.

        Raises RuntimeError after `READY_LIMIT_S`.
        """
        end_at = time.monotonic() + READY_LIMIT_S
        async with aiohttp.ClientSession() as session:
            for address in self.addresses:
                while True:
                    url = f"http://{address['operator']}/status"
                    async with session.get(url) as resp:
                        daemon = (await resp.json())["daemon"]
                    if daemon["ready"] and daemon["links"] >= N_HOSTS - 1:
                        break
                    if time.monotonic() > end_at:
                        raise RuntimeError(f"host not ready: {daemon}")
                    await asyncio.sleep(0.05)

    async def _stop(self) -> None:
        if hasattr(self, "generator"):
            await self.generator.stop()
        children = [*self.hosts, *self.backends]
        await asyncio.gather(*(child.stop() for child in children))
        for service in (self.config, self.stale_config, self.host_list):
            await service.stop()
        self.log_dir.cleanup()

    def publish(self, objects: ObjectSet) -> None:
        """Publish a set under the next generation number."""
        self.generation += 1
        self.objects = objects
        self.config.publish(dict(bundle_set(objects, self.generation).items()))

    async def call_backends(self, command: str, /, **arguments: Any) -> list[Any]:
        """Run a command in all backend processes; return their results."""
        return await asyncio.gather(
            *(child.call(command, **arguments) for child in self.backends)
        )

    async def warm_up(self, rate: float) -> None:
        """Run a load so that hosts open connections and estimate latencies."""
        await self.generator.run(rate, WARM_UP_S)

    async def measure(self, rate: float, duration_s: float) -> dict[str, Any]:
        """Run a load; return its statistics, and counters and CPU of all processes."""
        before = await self._counters()
        started_at = time.perf_counter()
        load = await self.generator.run(rate, duration_s)
        elapsed_s = time.perf_counter() - started_at
        after = await self._counters()
        found = summarize(load)
        for key in ("hosts_cpu", "backends_cpu"):
            shares = [
                (b - a) / elapsed_s
                for a, b in zip(before[key], after[key], strict=True)
            ]
            found[key] = [round(share, 2) for share in shares]
        counts = {
            key: value - before["counts"].get(key, 0)
            for key, value in after["counts"].items()
        }
        totals = {k: v - before["totals"][k] for k, v in after["totals"].items()}
        sent, needed = counts["sub_requests_sent"], counts["sub_requests_needed"]
        found["extra_load"] = round((sent - needed) / max(1, needed), 4)
        found["hedges"] = round(counts.get("hedges_sent", 0) / max(1, needed), 4)
        found["arrived_extra"] = round((totals["arrived"] - needed) / max(1, needed), 4)
        found["host_counts"] = {k: v for k, v in sorted(counts.items()) if v}
        found["backend_counts"] = totals
        return found

    async def _counters(self) -> dict[str, Any]:
        counts: dict[str, float] = {}
        for reply in await asyncio.gather(*(h.call("counts") for h in self.hosts)):
            for key, value in reply.items():
                counts[key] = counts.get(key, 0) + value
        totals: dict[str, int] = {}
        for reply in await self.call_backends("totals"):
            del reply["once"]
            for key, value in reply.items():
                totals[key] = totals.get(key, 0) + value
        return {
            "counts": counts,
            "totals": totals,
            "hosts_cpu": await asyncio.gather(*(h.call("cpu") for h in self.hosts)),
            "backends_cpu": await self.call_backends("cpu"),
        }

    def host_log(self) -> list[str]:
        """Return the log lines (warnings and errors) of all child processes."""
        lines: list[str] = []
        for name in sorted(os.listdir(self.log_dir.name)):
            path = os.path.join(self.log_dir.name, name)
            with open(path, encoding="utf-8", errors="replace") as file:
                lines += file.read().splitlines()
        return lines
