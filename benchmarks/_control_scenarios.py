"""Scenarios of configuration, leaving replicas, recovery and at-most-once runs."""

import asyncio
import time
from dataclasses import replace
from typing import Any

import aiohttp

from benchmarks._load import quantile
from benchmarks._scenarios import ARCHIVO_QUERIES_PER_S, Row, scaled, scenario
from benchmarks._sets import (
    ARCHIVO,
    ONCE_ROUTE,
    TOKEN,
    in_domain,
    replica_names,
    with_weight,
)
from benchmarks._world import Variant, World

N_PUBLICATIONS = 20
PUBLICATIONS_LIMIT_S = 5.0  # no publication starts after this time
ACCEPT_LIMIT_S = 10.0
# A failure domain has recovered when it gets this fraction of its usual share of runs.
RECOVERED_FRACTION = 0.8
RECOVERY_STEP_S = 1.0
RECOVERY_LIMIT_S = 10.0
ONCE_RATE = 40.0
ONCE_S = 4.5
LEAVING_MEASURE_S = 3.0


@scenario("configuration")
async def configuration(variant: Variant, seed: int) -> list[Row]:
    """Measure the time from a publication until all hosts have accepted it."""
    rows = []
    async with World(ARCHIVO, variant, seed) as world:
        times_s = await _publish_many(world)
        rows.append(_distribution_row("all hosts watch", times_s))
    # Only the first host reads new values from the service; the others get them from
    # peers.
    async with World(ARCHIVO, variant, seed, split_config=True) as world:
        times_s = await _publish_many(world)
        rows.append(_distribution_row("one host sees the service", times_s))
        for host in world.hosts:
            await host.call("faults", drop_fraction=0.2, cut_from=[])
        times_s = await _publish_many(world)
        rows.append(_distribution_row("same, 20% of messages lost", times_s))
        await world.hosts[0].call("faults", drop_fraction=0.0, cut_from=["host-1"])
        await world.hosts[1].call("faults", drop_fraction=0.0, cut_from=["host-0"])
        await world.hosts[2].call("faults", drop_fraction=0.0, cut_from=[])
        times_s = await _publish_many(world)
        rows.append(_distribution_row("same, one link cut", times_s))
    return rows


async def _publish_many(world: World) -> list[float | None]:
    """Publish sets one after the other; return the times of `_publish`."""
    times_s: list[float | None] = []
    end_at = time.monotonic() + scaled(PUBLICATIONS_LIMIT_S)
    while len(times_s) < scaled(N_PUBLICATIONS) and time.monotonic() < end_at:
        times_s.append(await _publish(world))
    return times_s


async def _publish(world: World) -> float | None:
    """Publish a set; return the seconds until all hosts accept it.

    Returns None if a host does not within `ACCEPT_LIMIT_S`.
    """
    generation = world.generation + 1
    waits = [
        asyncio.create_task(
            host.call("in_force", generation=generation, limit_s=ACCEPT_LIMIT_S)
        )
        for host in world.hosts
    ]
    await asyncio.sleep(0.02)
    started_at = time.monotonic()
    world.publish(with_weight(world.objects, 1.0 + generation))
    times_s = await asyncio.gather(*waits)
    if any(at_s is None for at_s in times_s):
        return None
    return max(times_s) - started_at


def _distribution_row(label: str, times_s: list[float | None]) -> Row:
    """Return the quantiles of the times; None counts as `ACCEPT_LIMIT_S`."""
    bounded_s = sorted(ACCEPT_LIMIT_S if t is None else t for t in times_s)
    return {
        "part": label,
        "n": len(bounded_s),
        "in_force_p50_ms": round(quantile(bounded_s, 0.5) * 1000),
        "in_force_p99_ms": round(quantile(bounded_s, 0.99) * 1000),
        "n_not_in_force": sum(t is None for t in times_s),
    }


@scenario("leaving")
async def leaving(variant: Variant, seed: int) -> list[Row]:
    """Measure how long replicas get new sub-requests after their first drain header."""
    names = [f"{ARCHIVO.name}-00{n}-{x}" for n, x in enumerate("abcabc")]
    async with World(ARCHIVO, variant, seed) as world:
        await world.warm_up(ARCHIVO_QUERIES_PER_S)

        async def change() -> None:
            for name in names:
                await asyncio.sleep(0.3)
                await world.call_backends(
                    "script", names=[name], fields={"leaving": True}
                )

        task = asyncio.create_task(change())
        row = await world.measure(ARCHIVO_QUERIES_PER_S, LEAVING_MEASURE_S)
        await task
        late_s = []
        for name in names:
            found = [r for r in await world.call_backends("replica", name=name) if r]
            late_s.append(found[0]["last_arrived_at"] - found[0]["first_leaving_at"])
    # Negative if no sub-request arrived after the header.
    late_s = sorted(max(0.0, t) for t in late_s)
    return [
        row,
        {
            "part": "last new work",
            "n": len(names),
            "median_ms": round(quantile(late_s, 0.5) * 1000, 1),
            "max_ms": round(late_s[-1] * 1000, 1),
        },
    ]


@scenario("recovery")
async def recovery(variant: Variant, seed: int) -> list[Row]:
    """Measure how long a restarted failure domain takes to get its usual runs again."""
    domain = in_domain(ARCHIVO, "b")
    async with World(ARCHIVO, variant, seed) as world:
        await world.warm_up(ARCHIVO_QUERIES_PER_S)
        usual_fraction = await _work_fraction(world, domain)
        await world.call_backends("crash", names=domain)
        lost = await world.measure(ARCHIVO_QUERIES_PER_S, 2.0)
        await world.call_backends("restart", names=domain)
        started_at = time.monotonic()
        first_s = recovered_s = None
        while time.monotonic() - started_at < RECOVERY_LIMIT_S:
            fraction = await _work_fraction(world, domain)
            now_s = time.monotonic() - started_at
            if fraction > 0 and first_s is None:
                first_s = now_s
            if fraction >= RECOVERED_FRACTION * usual_fraction:
                recovered_s = now_s
                break
    return [
        {
            "part": "domain back",
            "usual_part": round(usual_fraction, 3),
            "complete_while_lost": lost["complete"],
            "first_work_s": None if first_s is None else round(first_s, 1),
            "recovered_s": None if recovered_s is None else round(recovered_s, 1),
        }
    ]


async def _work_fraction(world: World, names: list[str]) -> float:
    """Run load for one step; return the fraction of runs on the named replicas."""
    before = await _run_counts(world)
    await world.generator.run(ARCHIVO_QUERIES_PER_S, RECOVERY_STEP_S)
    after = await _run_counts(world)
    total = sum(after.values()) - sum(before.values())
    return sum(after[n] - before[n] for n in names) / max(1, total)


async def _run_counts(world: World) -> dict[str, int]:
    replies = await world.call_backends("runs")
    return {name: n for reply in replies for name, n in reply.items()}


@scenario("once")
async def once(variant: Variant, seed: int) -> list[Row]:
    """Send not-repeatable requests while their replicas crash and restart.

    After any failure, a caller resends its request with its ticket to another host.
    """
    shape = replace(ARCHIVO, with_orders=True)
    orders = [n for n in replica_names(shape) if n.startswith("orders")]
    outcomes: dict[str, int] = {}
    answered: set[int] = set()
    not_run: set[int] = set()
    async with World(shape, variant, seed) as world:

        async def faults() -> None:
            for name in orders[:2]:
                await asyncio.sleep(1.0)
                await world.call_backends("crash", names=[name])
                await asyncio.sleep(1.0)
                await world.call_backends("restart", names=[name])

        task = asyncio.create_task(faults())
        requests = []
        for n in range(int(ONCE_RATE * ONCE_S)):
            requests.append(asyncio.create_task(_send_order(world, n)))
            await asyncio.sleep(1 / ONCE_RATE)
        for n, outcome in enumerate(await asyncio.gather(*requests)):
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
            if outcome == "answered":
                answered.add(n)
            elif outcome.endswith("/not_run"):
                not_run.add(n)
        await task
        runs: dict[int, int] = {}
        for reply in await world.call_backends("totals"):
            for n, count in reply["once"]:
                runs[n] = runs.get(n, 0) + count
    return [
        {
            "part": "crashes",
            "n": int(ONCE_RATE * ONCE_S),
            "outcomes": outcomes,
            "run_twice": sum(count > 1 for count in runs.values()),
            "answered_but_not_run": len(answered - runs.keys()),
            "run_but_refused_as_not_run": len(not_run & runs.keys()),
        }
    ]


async def _send_order(world: World, n: int) -> str:
    """Send one request with a ticket, up to four times; return its last outcome."""
    session = world.generator.session
    headers = {"Authorization": f"Bearer {TOKEN}", "X-Request-Id": f"once{n}"}
    outcome = "no reply"
    for attempt in range(4):
        address = world.addresses[(n + attempt) % len(world.addresses)]["caller"]
        url = f"http://{address}/v1/query/{ONCE_ROUTE}"
        try:
            async with session.post(url, json={"n": n}, headers=headers) as resp:
                body: dict[str, Any] = await resp.json()
        except (aiohttp.ClientError, OSError, TimeoutError):
            await asyncio.sleep(0.05)
            continue
        if resp.status == 200:
            return "answered" if body["complete"] else "not covered"
        error = body["error"]
        outcome = f"{error['name']}/{error['outcome']}"
        if resp.status == 428 and "ticket" in body:
            headers["X-Ticket"] = body["ticket"]
        elif resp.status == 428:
            headers["X-Ticket"] = error["ticket"]
    return outcome
