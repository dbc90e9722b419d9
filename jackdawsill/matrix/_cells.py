"""Cells of the fault matrix: which fault is injected at which step of a script."""

import itertools
import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from jackdawsill.core import SendSub
from jackdawsill.matrix._faults import FAULTS, FaultContext
from jackdawsill.matrix._invariants import check_all
from jackdawsill.matrix._scenario import RESEND_AFTER_S, Scenario
from jackdawsill.matrix._world import FakeHost, World

BuildHost = Callable[[World, FakeHost], Any]
# Requests after each script, which show effects of a fault that appear late: one every
# BACKGROUND_PERIOD_S for BACKGROUND_S.
BACKGROUND_S = 9.0
BACKGROUND_PERIOD_S = 0.45


@dataclass(slots=True, frozen=True)
class Step:
    """Point of a script: the `occurrence`-th time that the world fires `hook`."""

    script: str
    name: str
    hook: str
    occurrence: int = 1


# A hook is a name that World or BackendNetwork passes to World.fire, or the class name
# of a peer message. Steps of one hook differ in the occurrence; a higher one selects a
# later sub-request, after the first ones were sent.
STEPS = (
    Step("query", "admit", "admit"),
    Step("query", "bind", "bind"),
    Step("query", "pick", "connect"),
    Step("query", "connect", "connect", 3),
    Step("query", "send", "send", 2),
    Step("query", "wait", "wait", 2),
    Step("query", "hedge", "hedge"),
    Step("query", "merge", "merge", 2),
    Step("query", "deliver", "reply"),
    Step("configuration", "publish", "publish"),
    Step("configuration", "read", "read"),
    Step("configuration", "notice", "GenerationNotice"),
    Step("configuration", "pull", "ValueRequest"),
    Step("configuration", "accept", "accept"),
    Step("ticket", "issue", "issue"),
    Step("ticket", "forward", "TicketForward"),
    Step("ticket", "spend", "spend"),
    Step("ticket", "run", "run"),
    Step("ticket", "record", "record"),
    Step("ticket", "reply", "reply", 2),
    Step("stop", "request", "stop"),
    Step("stop", "lameduck", "phase:lameduck"),
    Step("stop", "draining", "phase:draining"),
    Step("stop", "handover", "TicketHandover"),
    Step("stop", "exit", "exit"),
)


@dataclass(slots=True, frozen=True)
class Cell:
    """One run of the matrix: the faults to inject, each with its step."""

    injections: tuple[tuple[str, Step], ...]

    @property
    def name(self) -> str:
        """Return the name shown in tables; the seed is derived from it."""
        return " + ".join(
            f"{fault}@{step.script}.{step.name}" for fault, step in self.injections
        )

    @property
    def seed(self) -> int:
        """Return the default seed: the CRC-32 of the name."""
        return zlib.crc32(self.name.encode())


@dataclass(slots=True, frozen=True)
class CellResult:
    """Outcome of one cell; `n_injected` counts the faults whose step was reached."""

    cell: Cell
    n_injected: int
    violations: tuple[str, ...]
    n_answers: int
    n_refusals: int
    n_runs: int


class FaultInjector:
    """Listener of the world that injects one fault when its step is reached."""

    def __init__(self, scenario: Scenario, fault: str, step: Step) -> None:
        self.scenario = scenario
        self.fault = fault
        self.step = step
        self.n_seen = 0
        self.injected = False

    def __call__(self, hook: str, host: FakeHost | None, detail: Any) -> None:
        """Count occurrences of the hook and inject the fault at the given one.

        Hooks without a host are not counted: a fault needs one.
        """
        if self.injected or hook != self.step.hook or host is None:
            return
        self.n_seen += 1
        if self.n_seen < self.step.occurrence:
            return
        self.injected = True
        sub = detail if isinstance(detail, SendSub) else None
        FAULTS[self.fault](FaultContext(self.scenario, host, sub))


def single_cells() -> Iterator[Cell]:
    """Yield one cell for every fault at every step."""
    for fault, step in itertools.product(FAULTS, STEPS):
        yield Cell(((fault, step),))


def double_cells() -> Iterator[Cell]:
    """Yield cells that inject a fault at two successive occurrences of a step."""
    for fault, step in itertools.product(FAULTS, STEPS):
        again = Step(step.script, step.name, step.hook, step.occurrence + 1)
        yield Cell(((fault, step), (fault, again)))


def pair_cells() -> Iterator[Cell]:
    """Yield each pair of different faults at each pair of steps of one script."""
    for first, second in itertools.permutations(FAULTS, 2):
        for a, b in itertools.combinations_with_replacement(STEPS, 2):
            if a.script == b.script:
                yield Cell(((first, a), (second, b)))


def run_cell(cell: Cell, build: BuildHost, seed: int | None = None) -> CellResult:
    """Run one cell and check all invariants; `seed` overrides the seed of the cell."""
    scenario = Scenario(build, cell.seed if seed is None else seed)
    world = scenario.world
    violations = [
        f"start: {host.name} is not ready"
        for host in world.hosts.values()
        if not host.ready
    ]
    injectors = [
        FaultInjector(scenario, fault, step) for fault, step in cell.injections
    ]
    world.listeners.extend(injectors)
    SCRIPTS[cell.injections[0][1].script](scenario)
    run_background(scenario)
    scenario.finish()
    violations += check_all(world.journal, scenario.sets)
    replies = [r for a in world.journal.attempts for r in a.replies]
    return CellResult(
        cell,
        sum(t.injected for t in injectors),
        tuple(violations),
        sum(r.answer is not None for r in replies),
        sum(r.error is not None for r in replies),
        len(world.journal.runs),
    )


def run_background(scenario: Scenario) -> None:
    """Send queries and orders through ready hosts for `BACKGROUND_S`."""
    world = scenario.world
    started_at = world.now
    for n in range(int(BACKGROUND_S / BACKGROUND_PERIOD_S)):
        world.at(
            started_at + n * BACKGROUND_PERIOD_S,
            lambda n=n: send_background(scenario, n),
        )
    world.run_until(started_at + BACKGROUND_S)


def send_background(scenario: Scenario, n: int) -> None:
    """Send one request to a random ready host: every fourth one is an order."""
    host = scenario.pick_host()
    if host is None:
        return
    if n % 4 == 3:
        scenario.send_order()
    else:
        scenario.query(host, "kai" if n % 2 else "ana")


def script_query(scenario: Scenario) -> None:
    """Send concurrent queries to all hosts while one replica is slow.

    It takes 150 instead of 4 ms, long enough for a hedge. Callers alternate between
    the policies latency (ana) and coverage (kai).
    """
    world = scenario.world
    slow = world.backends.backends["archivo-01-bogota"]
    slow.latency_s = 0.150
    for n in range(3):
        for host in list(world.hosts.values()):
            world.after(
                0.004 * n, lambda h=host, n=n: scenario.query(h, ("ana", "kai")[n % 2])
            )
    world.run_until(world.now + 1.0)
    slow.latency_s = 0.004


def script_configuration(scenario: Scenario) -> None:
    """Publish two object sets 0.7 s apart; only the first host can read them."""
    world = scenario.world
    host, *others = world.hosts.values()
    # The others can get the sets only from the first host, not from the service.
    world.hosts_without_config.update(other.name for other in others)
    scenario.publish_again()
    world.fire("publish", host)
    world.run_until(world.now + 0.7)
    scenario.publish_again()
    world.fire("publish", host)
    world.after(
        BACKGROUND_S,
        lambda: world.hosts_without_config.difference_update(
            other.name for other in others
        ),
    )
    world.run_until(world.now + 1.0)


def script_ticket(scenario: Scenario) -> None:
    """Send not-repeatable requests whose callers resend them before a reply."""
    world = scenario.world
    for n in range(5):
        world.after(0.05 * n, lambda: scenario.send_order())
    world.run_until(world.now + 1.5)


def script_stop(scenario: Scenario) -> None:
    """Stop one host gracefully while it processes requests."""
    world = scenario.world
    host = world.hosts["h1"]
    for _ in range(3):
        scenario.send_order(host=host)
        scenario.query(host)
    world.run_until(world.now + RESEND_AFTER_S)
    scenario.query(host)
    world.run_until(world.now + 0.002)
    scenario.stop(host)


SCRIPTS: dict[str, Callable[[Scenario], None]] = {
    "query": script_query,
    "configuration": script_configuration,
    "ticket": script_ticket,
    "stop": script_stop,
}
