"""Registry of the faults that the matrix injects."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from jackdawsill.core import SendSub
from jackdawsill.matrix._fakes import FakeBackend

if TYPE_CHECKING:
    from jackdawsill.matrix._scenario import Scenario
    from jackdawsill.matrix._world import FakeHost

FAULT_S = 2.0
LONG_PAUSE_S = 4.0


@dataclass(slots=True, frozen=True)
class FaultContext:
    """Where a fault strikes: the scenario, the host at the step, its sub-request."""

    scenario: "Scenario"
    host: "FakeHost"
    sub: SendSub | None

    def backend(self) -> FakeBackend:
        """Return the backend server of the step, or one of the main group."""
        backends = self.scenario.world.backends.backends
        if self.sub is not None:
            return backends[self.sub.replica]
        return self.scenario.world.rng.choice(sorted_backends(backends))

    def heal_later(self, action: Callable[[], None], delay_s: float = FAULT_S) -> None:
        """Undo the fault after a while."""
        self.scenario.world.after(delay_s, action)


def sorted_backends(backends: dict[str, FakeBackend]) -> list[FakeBackend]:
    """Return the backends in the order of their names."""
    return [backends[name] for name in sorted(backends)]


Fault = Callable[[FaultContext], None]
FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Return a decorator that registers a fault."""

    def decorate(inject: Fault) -> Fault:
        FAULTS[name] = inject
        return inject

    return decorate


def set_for_a_while(ctx: FaultContext, target: Any, name: str, value: Any) -> None:
    """Set an attribute of a fake and restore it after `FAULT_S`."""
    # A fault that strikes twice must not take its own value for the original.
    originals = ctx.scenario.originals
    original = originals.setdefault((id(target), name), getattr(target, name))
    setattr(target, name, value)
    ctx.heal_later(lambda: setattr(target, name, original))


@fault("straggler")
def inject_straggler(ctx: FaultContext) -> None:
    """Make one replica answer long after the deadline."""
    set_for_a_while(ctx, ctx.backend(), "latency_s", 1.0)


@fault("replica_crash")
def inject_replica_crash(ctx: FaultContext) -> None:
    """End one replica without notice; it restarts."""
    ctx.scenario.world.backends.crash(ctx.backend(), FAULT_S)


@fault("replica_lost")
def inject_replica_lost(ctx: FaultContext) -> None:
    """End one replica for good."""
    ctx.scenario.world.backends.crash(ctx.backend(), None)


@fault("replica_cut_off")
def inject_cut_off(ctx: FaultContext) -> None:
    """Drop everything sent to and by one replica."""
    set_for_a_while(ctx, ctx.backend(), "cut_off", True)


@fault("failure_domain_lost")
def inject_failure_domain_lost(ctx: FaultContext) -> None:
    """End all replicas of one failure domain; they restart."""
    domain = ctx.backend().replica.failure_domain
    world = ctx.scenario.world
    for backend in sorted_backends(world.backends.backends):
        if backend.replica.failure_domain == domain:
            world.backends.crash(backend, FAULT_S)


@fault("shedding")
def inject_shedding(ctx: FaultContext) -> None:
    """Make one replica shed its load."""
    set_for_a_while(ctx, ctx.backend(), "shedding", True)


@fault("shedding_all")
def inject_shedding_all(ctx: FaultContext) -> None:
    """Make all replicas of one service shed their load."""
    service = ctx.backend().replica.service
    for backend in sorted_backends(ctx.scenario.world.backends.backends):
        if backend.replica.service == service:
            set_for_a_while(ctx, backend, "shedding", True)


@fault("cap_refused")
def inject_cap_refused(ctx: FaultContext) -> None:
    """Make one replica refuse connections at its cap."""
    set_for_a_while(ctx, ctx.backend(), "cap_refused", True)


@fault("cold_start")
def inject_cold_start(ctx: FaultContext) -> None:
    """Make one replica refuse while it starts."""
    set_for_a_while(ctx, ctx.backend(), "starting", True)


@fault("replica_drains")
def inject_drain(ctx: FaultContext) -> None:
    """Drain one replica for good."""
    ctx.backend().draining = True


@fault("bad_answer")
def inject_bad_answer(ctx: FaultContext) -> None:
    """Make one replica send truncated answers."""
    set_for_a_while(ctx, ctx.backend(), "corrupt", True)


@fault("other_snapshot")
def inject_other_snapshot(ctx: FaultContext) -> None:
    """Make one replica answer from another snapshot than the one asked for."""
    set_for_a_while(ctx, ctx.backend(), "answers_from", "archivo-2")


@fault("late_and_doubled_answers")
def inject_doubled_answers(ctx: FaultContext) -> None:
    """Deliver answers twice, and answers of cancelled sub-requests late."""
    set_for_a_while(ctx, ctx.scenario.world.backends, "duplicate_answers", True)


@fault("foreign_answer")
def inject_foreign_answer(ctx: FaultContext) -> None:
    """Deliver an answer of another request before the true one."""
    set_for_a_while(ctx, ctx.scenario.world.backends, "foreign_answers", True)


@fault("index_change")
def inject_index_change(ctx: FaultContext) -> None:
    """Drop the snapshot in use from one replica of each service."""
    seen: set[str] = set()
    for backend in sorted_backends(ctx.scenario.world.backends.backends):
        if backend.replica.service not in seen:
            seen.add(backend.replica.service)
            backend.unservable.add("archivo-1")


@fault("repartition")
def inject_repartition(ctx: FaultContext) -> None:
    """Publish a snapshot with other shards and drop the earlier one."""
    ctx.scenario.publish_repartition()
    for backend in sorted_backends(ctx.scenario.world.backends.backends):
        backend.unservable.add("archivo-1")
        backend.unservable.discard("archivo-2")


@fault("reorganisation")
def inject_reorganisation(ctx: FaultContext) -> None:
    """Move the caller to a department without access."""
    ctx.scenario.publish_reorganisation()


@fault("publication")
def inject_publication(ctx: FaultContext) -> None:
    """Publish an unrelated change."""
    ctx.scenario.publish_again()


@fault("config_down")
def inject_config_down(ctx: FaultContext) -> None:
    """Stop the configuration service for a while."""
    set_for_a_while(ctx, ctx.scenario.world.config, "down", True)


@fault("config_stale")
def inject_config_stale(ctx: FaultContext) -> None:
    """Serve the first set from the configuration service for a while."""
    set_for_a_while(ctx, ctx.scenario.world.config, "stale_generation", 1)


@fault("host_paused")
def inject_host_paused(ctx: FaultContext) -> None:
    """Pause the host of the step."""
    ctx.scenario.pause(ctx.host, LONG_PAUSE_S)


@fault("host_lost")
def inject_host_lost(ctx: FaultContext) -> None:
    """End the host of the step; a new process replaces it."""
    ctx.scenario.lose_host(ctx.host)


@fault("peer_lost")
def inject_peer_lost(ctx: FaultContext) -> None:
    """End another host than the one of the step."""
    peer = ctx.scenario.other_host(ctx.host)
    if peer is not None:
        ctx.scenario.lose_host(peer)


@fault("partition")
def inject_partition(ctx: FaultContext) -> None:
    """Cut the host of the step from all other hosts and the platform."""
    ctx.scenario.cut(ctx.host, LONG_PAUSE_S)


@fault("fleet_split")
def inject_fleet_split(ctx: FaultContext) -> None:
    """Cut the host of the step from all other hosts, but not from the platform."""
    ctx.scenario.cut(ctx.host, LONG_PAUSE_S, from_platform=False)


@fault("poison")
def inject_poison(ctx: FaultContext) -> None:
    """Make the request of the step crash each replica that runs it."""
    body = ctx.sub.body if ctx.sub is not None else ctx.scenario.current_body()
    for backend in sorted_backends(ctx.scenario.world.backends.backends):
        backend.poison.add(body)
