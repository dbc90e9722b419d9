"""Measure CPU time per sub-request of the backend client and of the driver.

The backend servers run in a process of their own, so that the CPU time of this process
is that of the client alone. Run with `python -m benchmarks.http_client`.
"""

import asyncio
import multiprocessing
import random
import time
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


def serve(n_servers: int, pipe: Connection) -> None:
    """Run backend servers until the pipe closes."""

    async def run() -> None:
        servers = [BackendServer() for _ in range(n_servers)]
        for server in servers:
            server.script.n_slots = 1000
            await server.start()
        pipe.send([server.address for server in servers])
        await asyncio.get_running_loop().run_in_executor(None, pipe.recv)

    uvloop.run(run())


async def plain(addresses: list[str], n_queries: int) -> int:
    """Post with a default aiohttp session, the floor that a user would write."""
    n_ok = 0
    async with aiohttp.ClientSession() as session:

        async def post(n: int, address: str) -> int:
            headers = {"X-Request-Id": f"r{n}", "X-Snapshot": "s", "X-Deadline-Ms": "9"}
            url = f"http://{address}/v1/shard/s01"
            async with session.post(url, data=b"{}", headers=headers) as resp:
                await resp.json()
                return resp.status == 200

        for n in range(n_queries):
            n_ok += sum(await asyncio.gather(*(post(n, a) for a in addresses)))
    return n_ok


class Fanout:
    """Send one sub-request to each address and wait for all outcomes."""

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = addresses
        self.n_ok = 0
        self.n_left = 0
        self.n_sent = 0
        self.done = asyncio.Event()

    def subs(self, request_id: str) -> list[SendSub]:
        """Return the effects of one query."""
        self.n_left = len(self.addresses)
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
        """Count an outcome."""
        self.n_ok += isinstance(outcome, SubAnswered)
        self.n_left -= 1
        if self.n_left == 0:
            self.done.set()


async def client(addresses: list[str], n_queries: int) -> int:
    """Send through the backend client alone."""
    fanout = Fanout(addresses)
    backend = BackendClient(lambda sub, outcome: fanout.on_outcome(outcome), "t-")
    await backend.start()
    for n in range(n_queries):
        for effect in fanout.subs(f"r{n}"):
            backend.send(effect)
        await fanout.done.wait()
    await backend.stop()
    return fanout.n_ok


async def driven(addresses: list[str], n_queries: int) -> int:
    """Send through the driver, with a reducer handler for each outcome."""
    fanout = Fanout(addresses)

    def on_outcome(state, event, now):
        fanout.on_outcome(event)
        return []

    HANDLERS.clear()
    HANDLERS[SubAnswered] = HANDLERS[SubFailed] = [on_outcome]
    driver = Driver(HostState("bench", "bogota", random.Random(1)))
    backend = BackendClient(lambda sub, outcome: driver.feed(outcome), "t-")
    await backend.start()
    driver.start()
    for n in range(n_queries):
        for effect in fanout.subs(f"r{n}"):
            backend.send(effect)
        await fanout.done.wait()
    driver.stop()
    await backend.stop()
    return fanout.n_ok


def main(
    n_queries: int = 100,
    n_servers: int = N_SHARDS,
    rounds: int = 7,
    tuned: bool = True,
) -> None:
    """Print microseconds of CPU per sub-request, the best of the rounds."""
    context = multiprocessing.get_context("spawn")
    near, far = context.Pipe()
    servers = context.Process(target=serve, args=(n_servers, far), daemon=True)
    servers.start()
    addresses = near.recv()
    n_subs = n_queries * n_servers
    print(f"{n_queries} queries to {n_servers} servers, best of {rounds}, {tuned=}")
    best = dict.fromkeys((plain, client, driven), float("inf"))
    if tuned:
        tune_gc()
    # The rounds take turns, so that load from elsewhere meets all of them.
    for _ in range(rounds):
        for measured in best:
            uvloop.run(measured(addresses, 3))  # warm-up
            start_s = time.process_time()
            n_ok = uvloop.run(measured(addresses, n_queries))
            best[measured] = min(best[measured], time.process_time() - start_s)
            if n_ok != n_subs:
                raise SystemExit(f"{measured.__name__}: {n_ok} of {n_subs} answered")
    for measured, cpu_s in best.items():
        print(f"{measured.__name__:8} {cpu_s / n_subs * 1e6:7.1f} us a sub-request")
    near.send(None)
    servers.join()


if __name__ == "__main__":
    fire.Fire(main)
