"""Registry of the faults that the matrix injects."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from jackdawsill.core import SendSub
from jackdawsill.matrix._fakes import FakeBackend

if TYPE_CHECKING:
    from jackdawsill.matrix._scenario import Scenario
    from jackdawsill.matrix._world import FakeHost

FAULT_DURATION_S = 2.0
# Duration of pauses and partitions of a host.
HOST_OUTAGE_S = 4.0


@dataclass(slots=True, frozen=True)
class FaultContext:
    """Where a fault is injected.

    `host` is the host that reached the step; `sub` is its sub-request, or None if the
    step has none.
    """

    scenario: "Scenario"
    host: "FakeHost"
    sub: SendSub | None

    def backend(self) -> FakeBackend:
        """Return the backend server of the sub-request, or a random one."""
        backends = self.scenario.world.backends.backends
        if self.sub is not None:
            return backends[self.sub.replica]
        return self.scenario.world.rng.choice(backends_by_name(backends))

    def undo_later(
        self, action: Callable[[], None], delay_s: float = FAULT_DURATION_S
    ) -> None:
        """Schedule the action that undoes the fault."""
        self.scenario.world.after(delay_s, action)


def backends_by_name(backends: dict[str, FakeBackend]) -> list[FakeBackend]:
    """Return the backends sorted by name, so that a run depends on its seed only."""
    return [backends[name] for name in sorted(backends)]


Fault = Callable[[FaultContext], None]
FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Return a decorator that registers a fault in `FAULTS` under a name."""

    def decorate(inject: Fault) -> Fault:
        FAULTS[name] = inject
        return inject

    return decorate


def set_temporarily(ctx: FaultContext, target: Any, name: str, value: Any) -> None:
    """Set an attribute of a fake and restore it after `FAULT_DURATION_S`."""
    # If the fault is injected again before it has ended, the attribute holds the faulty
    # value, so the first value found is kept. The first undo ends both faults.
    original_values = ctx.scenario.original_values
    original = original_values.setdefault((id(target), name), getattr(target, name))
    setattr(target, name, value)
    ctx.undo_later(lambda: setattr(target, name, original))


@fault("straggler")
def inject_straggler(ctx: FaultContext) -> None:
    """Make one replica take at least 1 s, three times the deadline."""
    set_temporarily(ctx, ctx.backend(), "latency_s", 1.0)


@fault("replica_crash")
def inject_replica_crash(ctx: FaultContext) -> None:
    """Crash one replica; it restarts after `FAULT_DURATION_S`."""
    ctx.scenario.world.backends.crash(ctx.backend(), FAULT_DURATION_S)


@fault("replica_lost")
def inject_replica_lost(ctx: FaultContext) -> None:
    """Crash one replica permanently."""
    ctx.scenario.world.backends.crash(ctx.backend(), None)


@fault("replica_cut_off")
def inject_cut_off(ctx: FaultContext) -> None:
    """Drop all messages to and from one replica for `FAULT_DURATION_S`."""
    set_temporarily(ctx, ctx.backend(), "is_partitioned", True)


@fault("failure_domain_lost")
def inject_failure_domain_lost(ctx: FaultContext) -> None:
    """Crash all replicas of one failure domain; they restart."""
    domain = ctx.backend().replica.failure_domain
    world = ctx.scenario.world
    for backend in backends_by_name(world.backends.backends):
        if backend.replica.failure_domain == domain:
            world.backends.crash(backend, FAULT_DURATION_S)


@fault("shedding")
def inject_shedding(ctx: FaultContext) -> None:
    """Make one replica shed every sub-request."""
    set_temporarily(ctx, ctx.backend(), "shedding", True)


@fault("shedding_all")
def inject_shedding_all(ctx: FaultContext) -> None:
    """Make all replicas of one service shed every sub-request."""
    service = ctx.backend().replica.service
    for backend in backends_by_name(ctx.scenario.world.backends.backends):
        if backend.replica.service == service:
            set_temporarily(ctx, backend, "shedding", True)


@fault("cap_refused")
def inject_cap_refused(ctx: FaultContext) -> None:
    """Make one replica refuse connections as if at its connection cap."""
    set_temporarily(ctx, ctx.backend(), "at_connection_cap", True)


@fault("cold_start")
def inject_cold_start(ctx: FaultContext) -> None:
    """Make one replica refuse sub-requests as if it were still starting."""
    set_temporarily(ctx, ctx.backend(), "starting", True)


@fault("replica_drains")
def inject_drain(ctx: FaultContext) -> None:
    """Drain one replica permanently."""
    ctx.backend().draining = True


@fault("bad_answer")
def inject_bad_answer(ctx: FaultContext) -> None:
    """Make one replica send answers that hosts reject as invalid."""
    set_temporarily(ctx, ctx.backend(), "sends_bad_answers", True)


@fault("other_snapshot")
def inject_other_snapshot(ctx: FaultContext) -> None:
    """Make one replica answer from another snapshot than the one asked for."""
    set_temporarily(ctx, ctx.backend(), "answers_from", "archivo-2")


@fault("late_and_doubled_answers")
def inject_doubled_answers(ctx: FaultContext) -> None:
    """Deliver answers twice, and answers of cancelled sub-requests late."""
    set_temporarily(ctx, ctx.scenario.world.backends, "duplicate_answers", True)


@fault("foreign_answer")
def inject_foreign_answer(ctx: FaultContext) -> None:
    """Deliver an answer to another request before the right one."""
    set_temporarily(ctx, ctx.scenario.world.backends, "foreign_answers", True)


@fault("index_change")
def inject_index_change(ctx: FaultContext) -> None:
    """Permanently make one replica of each service decline the first snapshot."""
    seen: set[str] = set()
    for backend in backends_by_name(ctx.scenario.world.backends.backends):
        if backend.replica.service not in seen:
            seen.add(backend.replica.service)
            backend.unservable.add("archivo-1")


@fault("repartition")
def inject_repartition(ctx: FaultContext) -> None:
    """Publish a snapshot with other shards; all backends stop serving the first one."""
    ctx.scenario.publish_repartition()
    for backend in backends_by_name(ctx.scenario.world.backends.backends):
        backend.unservable.add("archivo-1")
        backend.unservable.discard("archivo-2")


@fault("reorganisation")
def inject_reorganisation(ctx: FaultContext) -> None:
    """Move the caller to a department without access."""
    ctx.scenario.publish_reorganisation()


@fault("publication")
def inject_publication(ctx: FaultContext) -> None:
    """Publish a generation with unchanged objects."""
    ctx.scenario.publish_again()


@fault("config_down")
def inject_config_down(ctx: FaultContext) -> None:
    """Make the configuration service fail for `FAULT_DURATION_S`."""
    set_temporarily(ctx, ctx.scenario.world.config, "down", True)


@fault("config_stale")
def inject_config_stale(ctx: FaultContext) -> None:
    """Make the configuration service return generation 1 for `FAULT_DURATION_S`."""
    set_temporarily(ctx, ctx.scenario.world.config, "stale_generation", 1)


@fault("host_paused")
def inject_host_paused(ctx: FaultContext) -> None:
    """Pause the process of the step's host for `HOST_OUTAGE_S`."""
    ctx.scenario.pause(ctx.host, HOST_OUTAGE_S)


@fault("host_lost")
def inject_host_lost(ctx: FaultContext) -> None:
    """Crash the host of the step; a new process replaces it."""
    ctx.scenario.crash_host(ctx.host)


@fault("peer_lost")
def inject_peer_lost(ctx: FaultContext) -> None:
    """Crash another host than the one of the step; a new process replaces it."""
    peer = ctx.scenario.other_host(ctx.host)
    if peer is not None:
        ctx.scenario.crash_host(peer)


@fault("partition")
def inject_partition(ctx: FaultContext) -> None:
    """Partition the host from all other hosts and the platform."""
    ctx.scenario.partition_host(ctx.host, HOST_OUTAGE_S)


@fault("fleet_split")
def inject_fleet_split(ctx: FaultContext) -> None:
    """Partition the host from all other hosts, but not from the platform."""
    ctx.scenario.partition_host(ctx.host, HOST_OUTAGE_S, from_platform=False)


@fault("poison")
def inject_poison(ctx: FaultContext) -> None:
    """Make the request of the step crash each replica that runs it, permanently."""
    body = ctx.sub.body if ctx.sub is not None else ctx.scenario.current_body()
    for backend in backends_by_name(ctx.scenario.world.backends.backends):
        backend.poison.add(body)
