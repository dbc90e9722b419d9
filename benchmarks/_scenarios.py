"""Scenarios of the load tool; each returns a list of table rows."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from benchmarks._sets import ARCHIVO, FANOUT, TRENDBOOK, in_domain, with_version
from benchmarks._world import Variant, World

Row = dict[str, Any]
Scenario = Callable[[Variant, int], Awaitable[list[Row]]]

SCENARIOS: dict[str, Scenario] = {}
PLAIN_SCENARIOS: set[str] = set()

# About a third of the capacity of three hosts, so that a busy CPU does not add to
# latencies.
FANOUT_QUERIES_PER_S = 30.0
ARCHIVO_QUERIES_PER_S = 150.0
TRENDBOOK_QUERIES_PER_S = 100.0
# Loads of the search for the capacity, as fractions of slots / mean service time, the
# rate at which all slots are always busy. The capacity is the highest rate of useful
# answers of any step.
CAPACITY_STEPS = (0.6, 0.8, 1.0)
PLAIN_CAPACITY_STEPS = (0.35, 0.5)
CAPACITY_STEP_S = 1.5
OVERLOAD_S = 3.0
# Longer than the probe of a restarted replica, about a second, and the ramp after it.
RAMP_WAIT_S = 2.5
# Pause in which the backlog of the previous step is processed.
BACKLOG_WAIT_S = 0.5


_scale = 1.0


def set_scale(scale: float) -> None:
    """Set the factor of all measuring times."""
    global _scale
    _scale = scale


def scaled(duration_s: float) -> float:
    """Return a measuring time multiplied by the scale."""
    return duration_s * _scale


def scenario(name: str, *, plain: bool = False) -> Callable[[Scenario], Scenario]:
    """Return a decorator that registers a scenario.

    With `plain`, the scenario is also run on the plain fan-out.
    """

    def register(function: Scenario) -> Scenario:
        SCENARIOS[name] = function
        if plain:
            PLAIN_SCENARIOS.add(name)
        return function

    return register


@scenario("fanout", plain=True)
async def fanout(variant: Variant, seed: int) -> list[Row]:
    """Measure a fan-out of 140 shards with 1% stragglers."""
    async with World(FANOUT, variant, seed) as world:
        await world.warm_up(FANOUT_QUERIES_PER_S)
        return [await world.measure(FANOUT_QUERIES_PER_S, scaled(7.0))]


@scenario("archivo", plain=True)
async def archivo(variant: Variant, seed: int) -> list[Row]:
    """Measure Envases' archivo group."""
    async with World(ARCHIVO, variant, seed) as world:
        await world.warm_up(ARCHIVO_QUERIES_PER_S)
        return [await world.measure(ARCHIVO_QUERIES_PER_S, scaled(3.0))]


@scenario("trendbook")
async def trendbook(variant: Variant, seed: int) -> list[Row]:
    """Measure Karoo's trendbook group, whose callers are coverage-first."""
    async with World(TRENDBOOK, variant, seed) as world:
        await world.warm_up(TRENDBOOK_QUERIES_PER_S)
        return [await world.measure(TRENDBOOK_QUERIES_PER_S, scaled(4.0))]


@scenario("losses")
async def losses(variant: Variant, seed: int) -> list[Row]:
    """Crash a replica, then a failure domain, then restart the domain."""
    rows = []
    async with World(ARCHIVO, variant, seed) as world:
        await world.warm_up(ARCHIVO_QUERIES_PER_S)
        one = [f"{ARCHIVO.name}-003-a"]
        row = await _measure_with_change(world, 2.5, 0.3, "crash", names=one)
        rows.append({"part": "replica lost", **row})
        await world.call_backends("restart", names=one)
        # Wait until the ramp is over; otherwise one service would have only a third of
        # its slots when the domain crashes.
        await world.generator.run(ARCHIVO_QUERIES_PER_S, RAMP_WAIT_S)
        domain = in_domain(ARCHIVO, "b")
        row = await _measure_with_change(world, 2.5, 0.3, "crash", names=domain)
        rows.append({"part": "domain lost", **row})
        row = await _measure_with_change(world, 2.5, 0.3, "restart", names=domain)
        rows.append({"part": "domain back", **row})
    return rows


@scenario("shedding")
async def shedding(variant: Variant, seed: int) -> list[Row]:
    """Make the replicas of two services shed 30% of their sub-requests."""
    names = [f"{ARCHIVO.name}-00{n}-{x}" for n in (1, 2) for x in "abc"]
    async with World(ARCHIVO, variant, seed) as world:
        await world.warm_up(ARCHIVO_QUERIES_PER_S)
        change = {"names": names, "fields": {"shed_fraction": 0.3}}
        row = await _measure_with_change(world, 4.0, 0.5, "script", **change)
        return [row]


@scenario("index_change")
async def index_change(variant: Variant, seed: int) -> list[Row]:
    """Publish a new snapshot; replicas change to it one failure domain at a time."""
    old, new = f"{ARCHIVO.name}-v1", f"{ARCHIVO.name}-v2"
    async with World(ARCHIVO, variant, seed) as world:
        await world.call_backends(
            "script", names=in_domain(ARCHIVO, "a"), fields={"servable": [old]}
        )
        await world.warm_up(ARCHIVO_QUERIES_PER_S)

        async def change() -> None:
            await asyncio.sleep(0.5)
            world.publish(with_version(world.objects, ARCHIVO, 2))
            for letter in "abc":
                await asyncio.sleep(1.0)
                names = in_domain(ARCHIVO, letter)
                fields = {"servable": [new]}
                await world.call_backends("script", names=names, fields=fields)

        for letter in "bc":
            names = in_domain(ARCHIVO, letter)
            await world.call_backends("script", names=names, fields={"servable": [old]})
        task = asyncio.create_task(change())
        row = await world.measure(ARCHIVO_QUERIES_PER_S, scaled(5.0))
        await task
        return [row]


@scenario("overload", plain=True)
async def overload(variant: Variant, seed: int) -> list[Row]:
    """Find the capacity, then offer 1, 2 and 4 times this load."""
    shape = replace(ARCHIVO, name="cotiza", median_ms=24.0)
    # 3 replicas. The mean service time is 1.35 medians: 1.05 for the lognormal
    # distribution, times 1.29 for 1% stragglers of 10 to 50 times.
    ideal_queries_per_s = 3 * shape.n_slots / (shape.median_ms * 1.35 / 1000.0)
    steps = PLAIN_CAPACITY_STEPS if variant.is_plain else CAPACITY_STEPS
    rows: list[Row] = []
    async with World(shape, variant, seed) as world:
        await world.warm_up(steps[0] * ideal_queries_per_s)
        found = []
        for step in steps:
            row = await world.measure(
                step * ideal_queries_per_s, scaled(CAPACITY_STEP_S)
            )
            found.append(row["useful_per_s"])
            await asyncio.sleep(BACKLOG_WAIT_S)
        capacity = max(found)
        for factor in (1, 2, 4):
            row = await world.measure(factor * capacity, scaled(OVERLOAD_S))
            rows.append({"part": f"{factor}x of {capacity:.0f}/s", **row})
            if not variant.is_plain:
                windows = [await h.call("windows") for h in world.hosts]
                rows[-1]["windows"] = windows
            await asyncio.sleep(BACKLOG_WAIT_S)
    # The run at 1x can exceed the capacity found before, because arrivals are random.
    capacity = max(1.0, capacity, rows[0]["useful_per_s"])
    for row in rows:
        row["useful_of_capacity"] = round(row["useful_per_s"] / capacity, 3)
    return rows


async def _measure_with_change(
    world: World, duration_s: float, after_s: float, command: str, **arguments: Any
) -> Row:
    """Measure a load, and run a backend command `after_s` after its start."""

    async def change() -> None:
        await asyncio.sleep(after_s)
        await world.call_backends(command, **arguments)

    task = asyncio.create_task(change())
    row = await world.measure(ARCHIVO_QUERIES_PER_S, scaled(duration_s))
    await task
    return row
