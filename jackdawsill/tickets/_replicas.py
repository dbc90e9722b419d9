"""Choice of a replica for a ticketed request, and reports of its result."""

from jackdawsill.core import (
    Effect,
    FailureKind,
    HostState,
    SubAnswered,
    SubFailed,
)
from jackdawsill.limits import ConcurrencyLimits, ConnectionShares, ShedWatch
from jackdawsill.objects import Replica, Shard, Snapshot
from jackdawsill.routing import ReplicaTable, broadcast_leaving
from jackdawsill.snapshots import SnapshotTable
from jackdawsill.tickets._runs import Run


def bind_shard(state: HostState, run: Run, now: float) -> Shard | None:
    """Bind a request to the newest snapshot of its group and to one shard.

    Returns None if the group has no snapshot or the snapshot no shard.
    """
    if run.snapshot is None:
        group = state.objects_.routes[run.request.route].group
        run.snapshot = state.component(SnapshotTable).choose(
            group, state.objects_, now, frozenset()
        )
    if run.snapshot is None or not run.snapshot.shards:
        return None
    shards = run.snapshot.shards
    # The same body goes to the same shard, whichever host decides.
    return shards[int(run.fingerprint, 16) % len(shards)]


def pick_replica(
    state: HostState, run: Run, shard: Shard, now: float
) -> Replica | None:
    """Return a replica that was not tried and to which one more request may be sent.

    Unlike queries, ticketed requests do not wait for capacity on a replica. A full
    replica sheds them, which is certain not to run them, and the next one is tried.
    Returns None if there is none.
    """
    service = shard.service
    routing = state.component(ReplicaTable)
    declining = state.component(SnapshotTable).declining(
        run.snapshot.name, service, now
    )
    excluded = set(run.tried) | set(declining)
    shares = state.component(ConnectionShares)
    while True:
        replica = routing.pick(service, excluded, state.objects_, now, state.rng)
        if replica is None:
            return None
        in_flight = routing.state_of(replica.name).in_flight
        share = shares.share(replica.name, now)
        if in_flight < (min(share, 1) if run.is_canary else share):
            return replica
        excluded.add(replica.name)


def report_sent(state: HostState, run: Run, now: float) -> int:
    """Count a request in flight and reserve the replica of a canary.

    Returns the maximum number of connections that may be open to the replica.
    """
    routing = state.component(ReplicaTable)
    routing.on_sent(run.replica, now)
    if run.is_canary:
        routing.reserve(run.replica)
    return max(state.component(ConnectionShares).share(run.replica, now), 1)


def report_ended(state: HostState, run: Run) -> None:
    """Count the end of a request in flight; a canary also releases its replica."""
    routing = state.component(ReplicaTable)
    routing.on_ended(run.replica)
    if run.is_canary:
        run.is_canary = False
        routing.release(run.replica)


def report_answer(
    state: HostState, run: Run, event: SubAnswered, now: float
) -> list[Effect]:
    """Report an answer to routing, limits and snapshots."""
    routing = state.component(ReplicaTable)
    in_flight = routing.state_of(run.replica).in_flight
    report_ended(state, run)
    routing.on_answer(run.replica, now - run.sent_at, event.load, now)
    state.component(ConcurrencyLimits).on_answer(
        run.replica, in_flight, _n_slots(state, run.snapshot), event.load, now
    )
    state.component(ShedWatch).on_answer(run.service, now)
    snapshots = state.component(SnapshotTable)
    snapshots.on_answered(run.snapshot.name, run.service, run.replica)
    snapshots.on_query_ended(run.snapshot, replied=True)
    if event.draining:
        return broadcast_leaving(state, run.replica, "draining header", now)
    return []


def report_failure(
    state: HostState, run: Run, event: SubFailed, now: float
) -> list[Effect]:
    """Report a failure to routing, limits and snapshots."""
    report_ended(state, run)
    state.component(ReplicaTable).on_failure(run.replica, event.kind, now)
    if event.kind is FailureKind.CAP:
        state.component(ConnectionShares).on_cap_refused(run.replica, now)
    elif event.kind is FailureKind.SHED:
        n_slots = _n_slots(state, run.snapshot)
        state.component(ConcurrencyLimits).on_shed(run.replica, n_slots, now)
        state.component(ShedWatch).on_shed(run.service, now)
    elif event.kind is FailureKind.DECLINED and state.objects_ is not None:
        state.component(SnapshotTable).on_declined(
            run.snapshot,
            run.service,
            run.replica,
            event.servable,
            state.objects_,
            now,
        )
    if event.kind is FailureKind.DRAINING or event.draining:
        return broadcast_leaving(state, run.replica, "draining refusal", now)
    return []


def _n_slots(state: HostState, snapshot: Snapshot) -> int:
    """Return the slots per replica of a snapshot's group, 1 if it is unknown."""
    groups = state.objects_.groups if state.objects_ else {}
    group = groups.get(snapshot.group)
    return 1 if group is None else group.n_slots
