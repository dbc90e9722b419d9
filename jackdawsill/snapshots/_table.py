"""Table of the snapshots that replicas can serve, as observed from sub-requests."""

from collections.abc import Collection
from dataclasses import dataclass, field

from jackdawsill.objects import ObjectSet, Snapshot

# A snapshot is servable while at least this fraction of its shards has a replica that
# is not known to decline it.
SERVABLE_FRACTION = 0.9
# A newer snapshot is preferred once this fraction of the replicas can serve it, or if
# no older one has a larger fraction. Replicas load it one after the other, and the
# first ones could not answer all queries of the group.
MIN_SERVING_FRACTION = 0.5
# A replica does not announce that it has loaded a snapshot, so a decline expires after
# this time. Each expiry costs at most one more declined sub-request.
DECLINE_TTL_S = 5.0
# If all replicas of a service have declined, one of them is asked again at this
# interval; otherwise every query would miss the shard until the declines expire.
RECHECK_INTERVAL_S = 0.05
# Time between two queries that probe a snapshot found not servable. The result of a
# check of a snapshot is also reused for at most this time.
PROBE_INTERVAL_S = 1.0
# A probe whose query has not reported its end is given up after this time.
PROBE_TIMEOUT_S = 5.0


@dataclass(slots=True)
class _SnapshotState:
    """What this host has observed of one snapshot; times are monotonic seconds."""

    # A query on it was answered, or a peer reported it as servable.
    is_confirmed: bool = False
    # A probe is in progress until this time.
    probe_until: float = float("-inf")
    next_probe_at: float = float("-inf")
    # service -> replica -> time at which the decline expires
    declines: dict[str, dict[str, float]] = field(default_factory=dict)
    # service -> time at which replicas that declined were last asked again
    rechecked_at: dict[str, float] = field(default_factory=dict)
    # Time and result of the last check of all shards.
    checked_at: float = float("-inf")
    was_servable: bool = True
    # Fraction of the replicas, over all shards, not known to decline.
    serving_fraction: float = 1.0
    # Declines changed since the last check.
    is_outdated: bool = True


class SnapshotTable:
    """Choose snapshots for queries by what sub-requests show of them."""

    __slots__ = ("last_broadcast_", "states_")

    def __init__(self) -> None:
        self.states_: dict[str, _SnapshotState] = {}
        self.last_broadcast_: dict[str, str] = {}  # group -> snapshot

    def choose(
        self, group: str, objects: ObjectSet, now: float, exclude: Collection[str] = ()
    ) -> Snapshot | None:
        """Return the snapshot for a new query, or None without any but `exclude`.

        This is the newest servable one, or a newer one to probe it, at most once in
        `PROBE_INTERVAL_S`. If none is servable, it is the newest one.
        """
        fallback = None
        preferred = self.newest_servable(group, objects, now, exclude)
        for snapshot in objects.snapshots_of(group):
            if snapshot.name in exclude:
                continue
            if snapshot is preferred:
                return snapshot
            observed = self._state_of(snapshot.name)
            is_servable = self._is_servable(snapshot, observed, objects, now)
            if observed.is_confirmed and is_servable:
                continue
            if now >= observed.probe_until and now >= observed.next_probe_at:
                observed.probe_until = now + PROBE_TIMEOUT_S
                observed.next_probe_at = now + PROBE_INTERVAL_S
                if not is_servable:
                    # The probe also asks replicas that declined earlier.
                    observed.declines.clear()
                    observed.is_outdated = True
                return snapshot
            if fallback is None:
                fallback = snapshot
        return fallback

    def on_query_ended(self, snapshot: Snapshot, replied: bool) -> None:
        """End the probe of a snapshot.

        `replied` is False if the caller disconnected before the reply; the snapshot is
        then not confirmed.
        """
        observed = self.states_.get(snapshot.name)
        if observed is None:
            return
        observed.probe_until = float("-inf")
        if replied:
            observed.is_confirmed = True

    def on_restart(self, snapshot: Snapshot, now: float) -> None:
        """Record that a query restarted on another snapshot after many declines.

        Other queries do not use the snapshot until a later probe succeeds. The declines
        are kept, so that the probe asks the replicas that may serve it.
        """
        observed = self._state_of(snapshot.name)
        observed.is_confirmed = False
        observed.probe_until = float("-inf")
        observed.next_probe_at = now + PROBE_INTERVAL_S

    def on_answered(self, snapshot: str, service: str, replica: str) -> None:
        """Withdraw the decline of a replica that answered for a snapshot."""
        observed = self.states_.get(snapshot)
        if observed is None or not observed.declines:
            return
        declined = observed.declines.get(service)
        if declined and declined.pop(replica, None) is not None:
            observed.is_outdated = True

    def on_declined(
        self,
        snapshot: Snapshot,
        service: str,
        replica: str,
        servable: Collection[str],
        objects: ObjectSet,
        now: float,
    ) -> None:
        """Record a decline, and the snapshots that the replica reports as servable.

        With an empty `servable`, nothing is known of the other snapshots.
        """
        self._record_decline(snapshot.name, service, replica, now)
        if not servable:
            return
        for other in objects.snapshots_of(snapshot.group):
            if other.name == snapshot.name:
                continue
            if other.name in servable:
                self.on_answered(other.name, service, replica)
            else:
                self._record_decline(other.name, service, replica, now)

    def declining(self, snapshot: str, service: str, now: float) -> tuple[str, ...]:
        """Return the replicas of a service with an unexpired decline of a snapshot."""
        observed = self.states_.get(snapshot)
        if observed is None or not observed.declines:
            return ()
        declined = observed.declines.get(service)
        if not declined:
            return ()
        return tuple(name for name, until in declined.items() if until > now)

    def try_recheck(self, snapshot: str, service: str, now: float) -> bool:
        """Return whether replicas that declined may be asked again now.

        If so, the next `RECHECK_INTERVAL_S` starts.
        """
        observed = self._state_of(snapshot)
        if now - observed.rechecked_at.get(service, float("-inf")) < RECHECK_INTERVAL_S:
            return False
        observed.rechecked_at[service] = now
        return True

    def newest_servable(
        self, group: str, objects: ObjectSet, now: float, exclude: Collection[str] = ()
    ) -> Snapshot | None:
        """Return the newest confirmed snapshot that enough replicas can serve.

        If no servable one reaches `MIN_SERVING_FRACTION`, the one with the largest
        fraction of replicas is returned; None if there is no servable one.
        """
        best, best_fraction = None, 0.0
        for snapshot in objects.snapshots_of(group):
            observed = self.states_.get(snapshot.name)
            if (
                observed is None
                or not observed.is_confirmed
                or snapshot.name in exclude
            ):
                continue
            if not self._is_servable(snapshot, observed, objects, now):
                continue
            if observed.serving_fraction >= MIN_SERVING_FRACTION:
                return snapshot
            if observed.serving_fraction > best_fraction:
                best, best_fraction = snapshot, observed.serving_fraction
        return best

    def next_broadcast(
        self, group: str, objects: ObjectSet, now: float
    ) -> Snapshot | None:
        """Return the newest servable snapshot and record it as broadcast.

        Return None if there is none, or if it was the last one broadcast.
        """
        newest = self.newest_servable(group, objects, now)
        if newest is None or self.last_broadcast_.get(group) == newest.name:
            return None
        self.last_broadcast_[group] = newest.name
        return newest

    def on_notice(
        self, group: str, snapshot: str, objects: ObjectSet, now: float
    ) -> bool:
        """Record a servable snapshot of a peer; return whether it is new here."""
        for published in objects.snapshots_of(group):
            if published.name != snapshot:
                continue
            observed = self._state_of(snapshot)
            if observed.is_confirmed:
                return False
            if observed.declines:
                # Declines observed by this host take precedence over the notice, but
                # a probe may follow at once.
                observed.next_probe_at = now
                return False
            observed.is_confirmed = True
            self.last_broadcast_[group] = snapshot
            return True
        return False

    def prune(self, objects: ObjectSet) -> None:
        """Drop snapshots and groups that are no longer published."""
        for name in [n for n in self.states_ if n not in objects.snapshots]:
            del self.states_[name]
        for group in [g for g in self.last_broadcast_ if g not in objects.groups]:
            del self.last_broadcast_[group]

    def _state_of(self, snapshot: str) -> _SnapshotState:
        observed = self.states_.get(snapshot)
        if observed is None:
            observed = self.states_[snapshot] = _SnapshotState()
        return observed

    def _record_decline(
        self, snapshot: str, service: str, replica: str, now: float
    ) -> None:
        observed = self._state_of(snapshot)
        observed.declines.setdefault(service, {})[replica] = now + DECLINE_TTL_S
        observed.is_outdated = True

    def _is_servable(
        self,
        snapshot: Snapshot,
        observed: _SnapshotState,
        objects: ObjectSet,
        now: float,
    ) -> bool:
        if not observed.declines:
            observed.serving_fraction = 1.0
            return True
        # The check visits all shards, so its result is reused until a decline is
        # recorded or withdrawn, or one may have expired.
        if not observed.is_outdated and now - observed.checked_at < PROBE_INTERVAL_S:
            return observed.was_servable
        observed.checked_at = now
        observed.is_outdated = False
        n_shards = len(snapshot.shards)
        n_declined = 0
        n_replicas = n_serving = 0
        for shard in snapshot.shards:
            replicas = objects.replicas_of(shard.service)
            declined = self.declining(snapshot.name, shard.service, now)
            n_serving_here = sum(r.name not in declined for r in replicas)
            n_declined += bool(declined) and not n_serving_here
            n_replicas += len(replicas)
            n_serving += n_serving_here
        observed.serving_fraction = n_serving / max(1, n_replicas)
        observed.was_servable = n_shards - n_declined >= SERVABLE_FRACTION * n_shards
        if not observed.was_servable:
            observed.next_probe_at = max(observed.next_probe_at, now + PROBE_INTERVAL_S)
        return observed.was_servable
