"""A request that crashes the replicas that run it comes again after their restart."""

import asyncio
import itertools
import random
from pathlib import Path

from lib.case import BOUNDS, Record, config, run_case
from lib.gateway import Gateway, free_hosts
from lib.http import Request, call
from lib.replica import Replica
from lib.store import CONFIG_KEY, Store

ZONES = {"bogota-a": "bogota", "medellin-a": "medellin", "cali-a": "cali"}
HOST = "app.example"
HARMFUL_TARGET = "/specs/harmful"
# The replica is back after some seconds, under the id and address that it had.
RESTART_S = 2.5
N_HARMFUL = 12
DEADLINE_MS = 4000
# Clients of each host for each service, and their pauses between requests.
N_CLIENTS, LONGEST_PAUSE_S = 10, 0.3
HARMFUL_INTERVAL_S = 7.0
STABLE_S = BOUNDS["stable_window_ms"] / 1000
N_CRASHED, N_RETRIES_ALLOWED = 3, 3


def make_route(name: str, service: str) -> dict:
    """Return a route to one service."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": "safe",
        "timeout_ms": DEADLINE_MS,
        "objective_ms": 400,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
    }


async def main(record: Record, has_trouble: bool, started: list) -> bool:
    """Return whether the request reached replicas more often than allowed."""
    store = Store()
    await store.start()
    ids = itertools.count(1)
    tasks: set[asyncio.Task] = set()
    crashed: dict[tuple[str, int], float] = {}  # process -> time of its crash

    def on_event(what: str, replica: Replica, request: Request) -> None:
        record.add(
            what,
            replica=replica.name,
            born=replica.born_ms,
            request=request.headers.get("request-id"),
            target=request.target,
        )

    async def restart(replica: Replica) -> None:
        await asyncio.sleep(RESTART_S)
        await replica.start()
        record.add("restarted", replica=replica.name, born=replica.born_ms)
        await replica.register(store)

    def on_crash(replica: Replica) -> None:
        process = (replica.name, replica.born_ms)
        crashed[process] = record.add("crashed", replica=replica.name)
        tasks.add(asyncio.get_running_loop().create_task(restart(replica)))

    replicas = []
    for service in ("specs", "orders"):
        for zone in ZONES:
            replica = Replica(
                f"i-{service}-{zone}",
                service,
                zone,
                on_event,
                work_s=0.01,
                idle_timeout_s=60,
                n_slots=3,
            )
            if has_trouble:
                replica.crashes_on = lambda r: r.target == HARMFUL_TARGET
            replica.on_crash = on_crash
            await replica.start()
            await replica.register(store)
            replicas.append(replica)
            tasks.add(asyncio.get_running_loop().create_task(replica.beat(store)))
    routes = [make_route("specs", "specs"), make_route("orders", "orders")]
    await store.put(CONFIG_KEY, config(7, routes))

    hosts = free_hosts(3)
    seeds = [f"{host}:8224" for host in hosts]
    gateways = []
    for host, zone in zip(hosts, ZONES, strict=True):
        gateway = Gateway(
            f"front-{zone}-1",
            host,
            zone,
            zones=ZONES,
            store=store.address,
            seeds=seeds,
            bounds=BOUNDS,
        )
        started.append(gateway)
        gateways.append(gateway)
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(8.0)  # the hosts count the fleet

    sent_at: dict[str, float] = {}

    async def send(gateway: Gateway, target: str) -> None:
        request_id = f"r{next(ids)}"
        sent_at[request_id] = record.add(
            "sent", to=gateway.name, request=request_id, target=target
        )
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        reply = await call(gateway.front, target, headers)
        record.add("answered", request=request_id, status=reply.status)

    async def load(gateway: Gateway, prefix: str) -> None:
        for number in itertools.count():
            await send(gateway, f"{prefix}{number}")
            await asyncio.sleep(random.uniform(0, LONGEST_PAUSE_S))

    for gateway, prefix in itertools.product(gateways, ("/specs/", "/orders/")):
        for _ in range(N_CLIENTS):
            task = asyncio.get_running_loop().create_task(load(gateway, prefix))
            tasks.add(task)
    await asyncio.sleep(3.0)
    for number in range(N_HARMFUL):
        await send(gateways[number % len(gateways)], HARMFUL_TARGET)
        await asyncio.sleep(HARMFUL_INTERVAL_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)

    if len(crashed) < N_CRASHED:
        record.add("checked", n_crashed=len(crashed))
        return False
    third_at = sorted(crashed.values())[N_CRASHED - 1]
    late = {
        line["request"]
        for line in record.lines
        if line["what"] == "arrived"
        and line["target"] == HARMFUL_TARGET
        and sent_at[line["request"]] > third_at + STABLE_S
    }
    record.add(
        "checked",
        n_crashed=len(crashed),
        third_crash_at=round(third_at, 3),
        n_late_requests_at_replicas=len(late),
        n_allowed=N_RETRIES_ALLOWED,
    )
    return len(late) > N_RETRIES_ALLOWED


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, main)
