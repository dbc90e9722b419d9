"""Table of the snapshots that replicas can serve, learned from their answers."""

from collections.abc import Collection
from dataclasses import dataclass, field

from jackdawsill.objects import ObjectSet, Snapshot

# A snapshot takes new queries while this fraction of its shards has a replica
# that is not known to decline it.
SERVABLE_FRACTION = 0.9
# While a new index is loaded replica by replica, the first replicas could not take
# all queries of the group. A newer snapshot is preferred from this part of the
# replicas on, or if no older one has more of them.
CAPACITY_FRACTION = 0.5
# A replica loads a new index without notice, so a decline is believed only for
# this time; each expiry costs at most one more declined sub-request.
DECLINE_TTL_S = 5.0
# A service whose replicas are all believed to decline is asked again this often;
# otherwise each query would miss its shard until the declines expire.
RECHECK_INTERVAL_S = 0.05
# Time between two probing queries on a snapshot that was found not servable.
PROBE_INTERVAL_S = 1.0
# A probe whose query never reported an end is given up after this time.
PROBE_TIMEOUT_S = 5.0


@dataclass(slots=True)
class _Observed:
    """What this host knows about one snapshot."""

    tried: bool = False
    probe_until: float = float("-inf")
    next_probe_at: float = float("-inf")
    # service -> replica -> time at which the decline expires
    declines: dict[str, dict[str, float]] = field(default_factory=dict)
    # service -> time of the last recheck
    rechecked: dict[str, float] = field(default_factory=dict)
    checked_at: float = float("-inf")
    servable: bool = True
    # Fraction of the replicas, over all shards, not known to decline.
    capacity: float = 1.0
    changed: bool = True


class SnapshotTable:
    """Bind queries to snapshots and learn in band which ones are servable."""

    __slots__ = ("announced_", "observed_")

    def __init__(self) -> None:
        self.observed_: dict[str, _Observed] = {}
        self.announced_: dict[str, str] = {}

    def bind(
        self, group: str, objects: ObjectSet, now: float, exclude: Collection[str] = ()
    ) -> Snapshot | None:
        """Return the snapshot for a new query, or None if the group has no other."""
        fallback = None
        preferred = self.newest_servable(group, objects, now, exclude)
        for snapshot in objects.snapshots_of(group):
            if snapshot.name in exclude:
                continue
            if snapshot is preferred:
                return snapshot
            seen = self._observed(snapshot.name)
            is_servable = self._is_servable(snapshot, seen, objects, now)
            if seen.tried and is_servable:
                continue
            if now >= seen.probe_until and now >= seen.next_probe_at:
                seen.probe_until = now + PROBE_TIMEOUT_S
                seen.next_probe_at = now + PROBE_INTERVAL_S
                if not is_servable:
                    # Replicas that declined earlier are asked again by the probe.
                    seen.declines.clear()
                    seen.changed = True
                return snapshot
            if fallback is None:
                fallback = snapshot
        return fallback

    def on_query_ended(self, snapshot: Snapshot, answered: bool) -> None:
        """End the probe of a snapshot; `answered` is False for abandoned queries."""
        seen = self.observed_.get(snapshot.name)
        if seen is None:
            return
        seen.probe_until = float("-inf")
        if answered:
            seen.tried = True

    def on_rejected(self, snapshot: Snapshot, now: float) -> None:
        """Record that a query left a snapshot because too many shards declined.

        Until a later probe succeeds, other queries do not repeat the attempt. The
        declines are kept, so that the probe asks the replicas that may serve it.
        """
        seen = self._observed(snapshot.name)
        seen.tried = False
        seen.probe_until = float("-inf")
        seen.next_probe_at = now + PROBE_INTERVAL_S

    def on_answered(self, snapshot: str, service: str, replica: str) -> None:
        """Record that a replica answered for a snapshot."""
        seen = self.observed_.get(snapshot)
        if seen is None or not seen.declines:
            return
        declined = seen.declines.get(service)
        if declined and declined.pop(replica, None) is not None:
            seen.changed = True

    def on_declined(
        self,
        snapshot: Snapshot,
        service: str,
        replica: str,
        servable: Collection[str],
        objects: ObjectSet,
        now: float,
    ) -> None:
        """Record a decline and the snapshots that the replica says it serves."""
        self._decline(snapshot.name, service, replica, now)
        if not servable:
            return
        for other in objects.snapshots_of(snapshot.group):
            if other.name == snapshot.name:
                continue
            if other.name in servable:
                self.on_answered(other.name, service, replica)
            else:
                self._decline(other.name, service, replica, now)

    def declining(self, snapshot: str, service: str, now: float) -> tuple[str, ...]:
        """Return the replicas of a service that are known to decline a snapshot."""
        seen = self.observed_.get(snapshot)
        if seen is None or not seen.declines:
            return ()
        declined = seen.declines.get(service)
        if not declined:
            return ()
        return tuple(name for name, until in declined.items() if until > now)

    def may_recheck(self, snapshot: str, service: str, now: float) -> bool:
        """Tell whether replicas that declined may be asked again, and count it."""
        seen = self._observed(snapshot)
        if now - seen.rechecked.get(service, float("-inf")) < RECHECK_INTERVAL_S:
            return False
        seen.rechecked[service] = now
        return True

    def newest_servable(
        self, group: str, objects: ObjectSet, now: float, exclude: Collection[str] = ()
    ) -> Snapshot | None:
        """Return the newest tried snapshot that enough replicas can serve."""
        best, best_capacity = None, 0.0
        for snapshot in objects.snapshots_of(group):
            seen = self.observed_.get(snapshot.name)
            if seen is None or not seen.tried or snapshot.name in exclude:
                continue
            if not self._is_servable(snapshot, seen, objects, now):
                continue
            if seen.capacity >= CAPACITY_FRACTION:
                return snapshot
            if seen.capacity > best_capacity:
                best, best_capacity = snapshot, seen.capacity
        return best

    def announce(self, group: str, objects: ObjectSet, now: float) -> Snapshot | None:
        """Return the preferred snapshot if peers do not know it yet."""
        newest = self.newest_servable(group, objects, now)
        if newest is None or self.announced_.get(group) == newest.name:
            return None
        self.announced_[group] = newest.name
        return newest

    def on_notice(
        self, group: str, snapshot: str, objects: ObjectSet, now: float
    ) -> bool:
        """Learn from a peer that a snapshot is served; return whether it is news."""
        for known in objects.snapshots_of(group):
            if known.name != snapshot:
                continue
            seen = self._observed(snapshot)
            if seen.tried:
                return False
            if seen.declines:
                # Declines seen by this host take precedence over a peer, but a
                # probe may follow at once.
                seen.next_probe_at = now
                return False
            seen.tried = True
            self.announced_[group] = snapshot
            return True
        return False

    def prune(self, objects: ObjectSet) -> None:
        """Forget snapshots that are no longer published."""
        for name in [n for n in self.observed_ if n not in objects.snapshots]:
            del self.observed_[name]
        for group in [g for g in self.announced_ if g not in objects.groups]:
            del self.announced_[group]

    def _observed(self, name: str) -> _Observed:
        seen = self.observed_.get(name)
        if seen is None:
            seen = self.observed_[name] = _Observed()
        return seen

    def _decline(self, name: str, service: str, replica: str, now: float) -> None:
        seen = self._observed(name)
        seen.declines.setdefault(service, {})[replica] = now + DECLINE_TTL_S
        seen.changed = True

    def _is_servable(
        self, snapshot: Snapshot, seen: _Observed, objects: ObjectSet, now: float
    ) -> bool:
        if not seen.declines:
            seen.capacity = 1.0
            return True
        # The check visits all shards, so its result is kept until a decline is
        # recorded or withdrawn, or one may have expired.
        if not seen.changed and now - seen.checked_at < PROBE_INTERVAL_S:
            return seen.servable
        seen.checked_at = now
        seen.changed = False
        n_shards = len(snapshot.shards)
        n_declined = 0
        n_replicas = n_serving = 0
        for shard in snapshot.shards:
            replicas = objects.replicas_of(shard.service)
            declined = self.declining(snapshot.name, shard.service, now)
            n_here = sum(r.name not in declined for r in replicas)
            n_declined += bool(declined) and not n_here
            n_replicas += len(replicas)
            n_serving += n_here
        seen.capacity = n_serving / max(1, n_replicas)
        seen.servable = n_shards - n_declined >= SERVABLE_FRACTION * n_shards
        if not seen.servable:
            seen.next_probe_at = max(seen.next_probe_at, now + PROBE_INTERVAL_S)
        return seen.servable
