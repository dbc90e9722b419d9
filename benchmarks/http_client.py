"""Measure CPU time per sub-request of the backend client and of the driver.

The backend servers run in another process, so that the CPU time of this process is that
of the client alone. Run with `python -m benchmarks.http_client`.
"""

import asyncio
import multiprocessing
import random
import time
from collections.abc import Awaitable, Callable
from multiprocessing.connection import Connection

import aiohttp
import fire
import uvloop

from jackdawsill.core import HANDLERS, HostState, SendSub, SubAnswered, SubFailed
from jackdawsill.daemon import Driver, tune_gc
from jackdawsill.daemon._backend_client import BackendClient
from jackdawsill.standins import BackendServer

N_SHARDS = 140
SUB_TIMEOUT_S = 10.0
N_WARM_UP = 5

Query = Callable[[str], Awaitable[None]]


def serve(n_servers: int, pipe: Connection) -> None:
    """Run backend servers; send their addresses; stop at the next pipe message."""

    async def run() -> None:
        servers = [BackendServer() for _ in range(n_servers)]
        for server in servers:
            server.script.n_slots = 1000
            await server.start()
        pipe.send([server.address for server in servers])
        await asyncio.get_running_loop().run_in_executor(None, pipe.recv)

    uvloop.run(run())


async def least_cpu_s(query: Query, n_queries: int) -> float:
    """Return the minimum CPU seconds of one query, after a warm-up.

    The minimum excludes queries that other processes on the machine slow down.
    """
    for n in range(N_WARM_UP):
        await query(f"w{n}")
    best_s = float("inf")
    for n in range(n_queries):
        start_s = time.process_time()
        await query(f"r{n}")
        best_s = min(best_s, time.process_time() - start_s)
    return best_s


async def plain(addresses: list[str], n_queries: int) -> float:
    """Measure POST requests with a default aiohttp session, as a baseline."""
    async with aiohttp.ClientSession() as session:

        async def post(request_id: str, address: str) -> bool:
            headers = {"X-Request-Id": request_id, "X-Snapshot": "s"}
            url = f"http://{address}/v1/shard/s01"
            async with session.post(url, data=b"{}", headers=headers) as resp:
                await resp.json()
                return resp.status == 200

        async def query(request_id: str) -> None:
            done = await asyncio.gather(*(post(request_id, a) for a in addresses))
            if not all(done):
                raise SystemExit("a sub-request was not answered")

        return await least_cpu_s(query, n_queries)


class Fanout:
    """One sub-request to each address; `done` is set after all outcomes."""

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = addresses
        self.n_ok = 0
        self.n_pending = 0
        self.n_sent = 0
        self.done = asyncio.Event()

    def subs(self, request_id: str) -> list[SendSub]:
        """Start a query: return its sub-requests and reset the count of outcomes."""
        self.n_pending = len(self.addresses)
        self.done.clear()
        effects = []
        for address in self.addresses:
            self.n_sent += 1
            effects.append(
                SendSub(
                    self.n_sent,
                    request_id,
                    "r",
                    address,
                    "s01",
                    "arc-1",
                    b"{}",
                    SUB_TIMEOUT_S,
                    True,
                    2,
                )
            )
        return effects

    def on_outcome(self, outcome: SubAnswered | SubFailed) -> None:
        """Count an outcome; set `done` at the last one."""
        self.n_ok += isinstance(outcome, SubAnswered)
        self.n_pending -= 1
        if self.n_pending == 0:
            self.done.set()


async def client(addresses: list[str], n_queries: int) -> float:
    """Measure the backend client alone."""
    fanout = Fanout(addresses)
    backend = BackendClient(lambda sub, outcome: fanout.on_outcome(outcome), "t-")
    return await measure_client(fanout, backend, n_queries)


async def driven(addresses: list[str], n_queries: int) -> float:
    """Measure the backend client with the driver and a handler for each outcome."""
    fanout = Fanout(addresses)

    def on_outcome(state, event, now):
        fanout.on_outcome(event)
        return []

    HANDLERS.clear()
    HANDLERS[SubAnswered] = HANDLERS[SubFailed] = [on_outcome]
    driver = Driver(HostState("bench", "bogota", random.Random(1)))
    driver.start()
    backend = BackendClient(lambda sub, outcome: driver.feed(outcome), "t-")
    best_s = await measure_client(fanout, backend, n_queries)
    driver.stop()
    return best_s


async def measure_client(
    fanout: Fanout, backend: BackendClient, n_queries: int
) -> float:
    """Return the minimum CPU seconds of a query through a backend client."""
    await backend.start()

    async def query(request_id: str) -> None:
        fanout.n_ok = 0
        for effect in fanout.subs(request_id):
            backend.send(effect)
        await fanout.done.wait()
        if fanout.n_ok != len(fanout.addresses):
            raise SystemExit("a sub-request was not answered")

    best_s = await least_cpu_s(query, n_queries)
    await backend.stop()
    return best_s


def main(
    n_queries: int = 100,
    n_servers: int = N_SHARDS,
    rounds: int = 5,
    tuned: bool = True,
) -> None:
    """Print the minimum CPU time per sub-request, in us, of each client."""
    context = multiprocessing.get_context("spawn")
    parent_end, child_end = context.Pipe()
    servers = context.Process(target=serve, args=(n_servers, child_end), daemon=True)
    servers.start()
    addresses = parent_end.recv()
    print(f"{n_queries} queries to {n_servers} servers, {rounds} rounds, {tuned=}")
    best_s_by_client = dict.fromkeys((plain, client, driven), float("inf"))
    if tuned:
        tune_gc()
    # Clients alternate, so that load from other processes affects all of them.
    for _ in range(rounds):
        for run_client in best_s_by_client:
            took_s = uvloop.run(run_client(addresses, n_queries))
            best_s_by_client[run_client] = min(best_s_by_client[run_client], took_s)
    for run_client, cpu_s in best_s_by_client.items():
        print(
            f"{run_client.__name__:8} {cpu_s / n_servers * 1e6:7.1f} us a sub-request"
        )
    parent_end.send(None)
    servers.join()


if __name__ == "__main__":
    fire.Fire(main)
