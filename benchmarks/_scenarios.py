"""Scenarios of the load tool; each returns a list of measurements."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from benchmarks._sets import ARCHIVO, FANOUT, TRENDBOOK, in_domain, with_version
from benchmarks._world import Variant, World

Row = dict[str, Any]
Scenario = Callable[[Variant, int], Awaitable[list[Row]]]

SCENARIOS: dict[str, Scenario] = {}
PLAIN_TOO: set[str] = set()

# Queries per second of the healthy set-ups: about a third of what three hosts reach,
# so that the figures show the decisions and not a full processor.
FANOUT_RATE = 30.0
ARCHIVO_RATE = 150.0
TRENDBOOK_RATE = 100.0
# Steps of the search for the capacity, as parts of slots / mean service time. The
# capacity is the highest rate of useful answers of any step.
CAPACITY_STEPS = (0.6, 0.8, 1.0)
PLAIN_CAPACITY_STEPS = (0.3, 0.45, 0.6)
CAPACITY_STEP_S = 2.0
OVERLOAD_S = 4.0
# A replica that returns is probed within about a second and then ramped.
RAMP_WAIT_S = 2.5
# Pause in which the backlog of the step before ends.
DRAIN_S = 0.5


_scale = 1.0


def set_scale(scale: float) -> None:
    """Make all measurements longer or shorter."""
    global _scale
    _scale = scale


def scaled(duration_s: float) -> float:
    """Return the duration of a measurement."""
    return duration_s * _scale


def scenario(name: str, *, plain: bool = False) -> Callable[[Scenario], Scenario]:
    """Register a scenario; `plain` also runs it on the plain fan-out."""

    def register(function: Scenario) -> Scenario:
        SCENARIOS[name] = function
        if plain:
            PLAIN_TOO.add(name)
        return function

    return register


@scenario("fanout", plain=True)
async def fanout(variant: Variant, seed: int) -> list[Row]:
    """Measure a fan-out of 140 with routine stragglers."""
    async with World(FANOUT, variant, seed) as world:
        await world.warm_up(FANOUT_RATE)
        return [await world.measure(FANOUT_RATE, scaled(8.0))]


@scenario("archivo", plain=True)
async def archivo(variant: Variant, seed: int) -> list[Row]:
    """Measure Envases' archivo group."""
    async with World(ARCHIVO, variant, seed) as world:
        await world.warm_up(ARCHIVO_RATE)
        return [await world.measure(ARCHIVO_RATE, scaled(4.0))]


@scenario("trendbook")
async def trendbook(variant: Variant, seed: int) -> list[Row]:
    """Measure Karoo's trendbook group, whose callers are coverage-first."""
    async with World(TRENDBOOK, variant, seed) as world:
        await world.warm_up(TRENDBOOK_RATE)
        return [await world.measure(TRENDBOOK_RATE, scaled(5.0))]


@scenario("losses")
async def losses(variant: Variant, seed: int) -> list[Row]:
    """Lose a replica, then a failure domain, and let the domain return."""
    rows = []
    async with World(ARCHIVO, variant, seed) as world:
        await world.warm_up(ARCHIVO_RATE)
        one = [f"{ARCHIVO.name}-003-a"]
        row = await _with_change(world, 3.0, 0.3, "crash", names=one)
        rows.append({"part": "replica lost", **row})
        await world.to_backends("restart", names=one)
        # Past the ramp; otherwise one service would have a third of its slots left.
        await world.generator.run(ARCHIVO_RATE, RAMP_WAIT_S)
        domain = in_domain(ARCHIVO, "b")
        row = await _with_change(world, 3.0, 0.3, "crash", names=domain)
        rows.append({"part": "domain lost", **row})
        row = await _with_change(world, 3.0, 0.3, "restart", names=domain)
        rows.append({"part": "domain back", **row})
    return rows


@scenario("shedding")
async def shedding(variant: Variant, seed: int) -> list[Row]:
    """Let the replicas of two services shed 30% of their sub-requests."""
    names = [f"{ARCHIVO.name}-00{n}-{x}" for n in (1, 2) for x in "abc"]
    async with World(ARCHIVO, variant, seed) as world:
        await world.warm_up(ARCHIVO_RATE)
        change = {"names": names, "fields": {"shed_fraction": 0.3}}
        row = await _with_change(world, 4.0, 0.5, "script", **change)
        return [row]


@scenario("index_change")
async def index_change(variant: Variant, seed: int) -> list[Row]:
    """Publish a new snapshot while the replicas move to it one domain at a time."""
    old, new = f"{ARCHIVO.name}-v1", f"{ARCHIVO.name}-v2"
    async with World(ARCHIVO, variant, seed) as world:
        await world.to_backends(
            "script", names=in_domain(ARCHIVO, "a"), fields={"servable": [old]}
        )
        await world.warm_up(ARCHIVO_RATE)

        async def change() -> None:
            await asyncio.sleep(0.5)
            world.publish(with_version(world.objects, ARCHIVO, 2))
            for letter in "abc":
                await asyncio.sleep(1.0)
                names = in_domain(ARCHIVO, letter)
                fields = {"servable": [new]}
                await world.to_backends("script", names=names, fields=fields)

        for letter in "bc":
            names = in_domain(ARCHIVO, letter)
            await world.to_backends("script", names=names, fields={"servable": [old]})
        task = asyncio.create_task(change())
        row = await world.measure(ARCHIVO_RATE, scaled(5.0))
        await task
        return [row]


@scenario("overload", plain=True)
async def overload(variant: Variant, seed: int) -> list[Row]:
    """Find the capacity, then offer 1x, 2x and 4x of it."""
    shape = replace(ARCHIVO, name="cotiza", median_ms=24.0)
    # 3 replicas; the means of the lognormal (1.05) and of the stragglers (1.29).
    ideal = 3 * shape.n_slots / (shape.median_ms * 1.35 / 1000.0)
    steps = PLAIN_CAPACITY_STEPS if variant.is_plain else CAPACITY_STEPS
    rows: list[Row] = []
    async with World(shape, variant, seed) as world:
        await world.warm_up(steps[0] * ideal)
        found = []
        for step in steps:
            row = await world.measure(step * ideal, scaled(CAPACITY_STEP_S))
            found.append(row["useful_per_s"])
            await asyncio.sleep(DRAIN_S)
        capacity = max(found)
        for factor in (1, 2, 4):
            row = await world.measure(factor * capacity, scaled(OVERLOAD_S))
            rows.append({"part": f"{factor}x of {capacity:.0f}/s", **row})
            if not variant.is_plain:
                windows = [await h.call("windows") for h in world.hosts]
                rows[-1]["windows"] = windows
            await asyncio.sleep(DRAIN_S)
    # Random arrivals differ between the search and 1x; the higher one counts.
    capacity = max(1.0, capacity, rows[0]["useful_per_s"])
    for row in rows:
        row["useful_of_capacity"] = round(row["useful_per_s"] / capacity, 3)
    return rows


async def _with_change(
    world: World, duration_s: float, after_s: float, command: str, **arguments: Any
) -> Row:
    """Measure while the backend processes run a command after a delay."""

    async def change() -> None:
        await asyncio.sleep(after_s)
        await world.to_backends(command, **arguments)

    task = asyncio.create_task(change())
    row = await world.measure(ARCHIVO_RATE, scaled(duration_s))
    await task
    return row
