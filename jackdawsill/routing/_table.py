"""Table of all replicas, and the choice of one for a sub-request."""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from jackdawsill.core import FailureKind, LoadReport
from jackdawsill.objects import ObjectSet, Replica
from jackdawsill.routing._replica import (
    COUNTED_FAILURES,
    EJECT_AT_ONCE,
    LATENCY_WEIGHT,
    LEAVING_TTL_S,
    N_FAILURES_TO_EJECT,
    ReplicaState,
)

# The near failure domain is preferred if its cost is at most this much higher.
NEAR_TOLERANCE = 1.2
# Start ids of notices are remembered for this time, so that a notice that went
# round does not mark a replica again after its return.
NOTICE_MEMORY_S = 120.0


@dataclass(slots=True, frozen=True)
class LeavingMark:
    """A replica that takes no new work, with the time left in seconds."""

    replica: str
    start_id: str
    ttl_s: float


class ReplicaTable:
    """Choose replicas by the power of two choices (Mitzenmacher, 2001)."""

    __slots__ = ("failure_domain", "notices_", "replicas_")

    def __init__(self, failure_domain: str = "") -> None:
        self.failure_domain = failure_domain
        self.replicas_: dict[str, ReplicaState] = {}
        self.notices_: dict[str, float] = {}

    def state_of(self, replica: str) -> ReplicaState:
        """Return the observations of a replica."""
        seen = self.replicas_.get(replica)
        if seen is None:
            seen = self.replicas_[replica] = ReplicaState()
        return seen

    def may_use(self, replica: str, now: float) -> bool:
        """Tell whether new work may be sent to a replica."""
        return self.state_of(replica).may_use(now)

    def pick(
        self,
        service: str,
        exclude: Collection[str],
        objects: ObjectSet,
        now: float,
        rng: random.Random,
        *,
        is_last_resort: bool = True,
    ) -> Replica | None:
        """Return a replica for one sub-request, or None if none may be used.

        If all others are ejected, the one whose backoff ends first is used as the
        last resort: an attempt that may fail is better than a shard that is missing
        for certain.
        """
        replicas = self.replicas_
        usable = []
        for replica in objects.replicas_by_service_.get(service, ()):
            name = replica.name
            if replica.leaving or name in exclude:
                continue
            seen = replicas.get(name) or self.state_of(name)
            if not seen.flagged or seen.may_use(now):
                usable.append(replica)
        n_usable = len(usable)
        if n_usable == 0:
            if not is_last_resort:
                return None
            return self._pick_ejected(service, exclude, objects, now)
        if n_usable == 1:
            return usable[0]
        if n_usable == 2:
            first, second = usable
        else:
            i = int(rng.random() * n_usable)
            j = int(rng.random() * (n_usable - 1))
            first, second = usable[i], usable[j + (j >= i)]
        return self._cheaper(first, second, now, rng)

    def usable(
        self, service: str, exclude: Collection[str], objects: ObjectSet, now: float
    ) -> list[Replica]:
        """Return all replicas of a service that may be used."""
        return [
            r
            for r in objects.replicas_of(service)
            if not r.leaving and r.name not in exclude and self.may_use(r.name, now)
        ]

    def on_sent(self, replica: str, now: float) -> None:
        """Count a sub-request in flight."""
        self.state_of(replica).in_flight += 1

    def on_ended(self, replica: str) -> None:
        """Count the end of a sub-request in flight, whatever its outcome was.

        It is apart from `on_answer` and `on_failure`, because a sub-request whose
        outcome is never told ends as well.
        """
        self.state_of(replica).on_ended()

    def on_answer(
        self, replica: str, latency_s: float, load: LoadReport | None, now: float
    ) -> None:
        """Record an answer; a replica that was ejected returns cold."""
        self.state_of(replica).on_answer(latency_s, load, now)

    def on_cancelled(self, replica: str, elapsed_s: float, now: float) -> None:
        """Record a cancelled sub-request, which took at least `elapsed_s`."""
        seen = self.state_of(replica)
        if elapsed_s > seen.latency_s:
            seen.latency_s += LATENCY_WEIGHT * (elapsed_s - seen.latency_s)

    def on_failure(self, replica: str, kind: FailureKind, now: float) -> float:
        """Record a failure; return the backoff in seconds if it ejects, else 0."""
        seen = self.state_of(replica)
        if kind in COUNTED_FAILURES:
            seen.n_failures += 1
        elif kind not in EJECT_AT_ONCE:
            return 0.0
        # Sub-requests sent before an ejection fail after it and add no evidence.
        if seen.ejected_until is not None and now < seen.ejected_until:
            return 0.0
        if kind in EJECT_AT_ONCE or seen.n_failures >= N_FAILURES_TO_EJECT:
            return seen.eject(now)
        return 0.0

    def mark_leaving(
        self, replica: str, now: float, ttl_s: float = LEAVING_TTL_S
    ) -> bool:
        """Stop new work on a replica; return whether this is the first evidence."""
        seen = self.state_of(replica)
        is_first = seen.leaving_until is None or now >= seen.leaving_until
        seen.leaving_until = max(seen.leaving_until or 0.0, now + ttl_s)
        seen.flagged = True
        return is_first

    def on_notice(self, replica: str, start_id: str, ttl_s: float, now: float) -> bool:
        """Record a peer's notice; return whether it is the first evidence here."""
        if start_id in self.notices_:
            return False
        self.remember_notice(start_id, now)
        if not 0 < ttl_s <= LEAVING_TTL_S:
            return False
        is_first = self.mark_leaving(replica, now, ttl_s)
        if is_first:
            self.state_of(replica).leaving_start_id = start_id
        return is_first

    def leaving(self, now: float) -> list[LeavingMark]:
        """Return the marks in force, for peers that have just connected."""
        return [
            LeavingMark(name, seen.leaving_start_id, seen.leaving_until - now)
            for name, seen in self.replicas_.items()
            if seen.leaving_until is not None
            and seen.leaving_until > now
            and seen.leaving_start_id
        ]

    def remember_notice(self, start_id: str, now: float) -> None:
        """Remember a start id, and forget those that are too old."""
        while self.notices_:
            oldest = next(iter(self.notices_))
            if self.notices_[oldest] > now:
                break
            del self.notices_[oldest]
        self.notices_[start_id] = now + NOTICE_MEMORY_S

    def reserve(self, replica: str) -> None:
        """Keep a replica free of other work until `release`."""
        seen = self.state_of(replica)
        seen.reserved = True
        seen.flagged = True

    def release(self, replica: str) -> None:
        """End a reservation."""
        seen = self.state_of(replica)
        seen.reserved = False
        seen.update_flag()

    def prune(self, known: Iterable[str]) -> None:
        """Forget replicas that the newest set does not contain."""
        known = frozenset(known)
        for name in [n for n in self.replicas_ if n not in known]:
            if not self.replicas_[name].in_flight:
                del self.replicas_[name]

    def _cheaper(
        self, first: Replica, second: Replica, now: float, rng: random.Random
    ) -> Replica:
        one = self.state_of(first.name)
        two = self.state_of(second.name)
        if one.flagged or two.flagged:
            # Ramped replicas lose the comparison in proportion to their ramp.
            ramp_one, ramp_two = one.ramp(now), two.ramp(now)
            if ramp_one < ramp_two and rng.random() >= ramp_one:
                return second
            if ramp_two < ramp_one and rng.random() >= ramp_two:
                return first
        cost_one, cost_two = one.cost(now), two.cost(now)
        near = self.failure_domain
        if first.failure_domain != second.failure_domain:
            if first.failure_domain == near:
                cost_two *= NEAR_TOLERANCE
            elif second.failure_domain == near:
                cost_one *= NEAR_TOLERANCE
        return first if cost_one <= cost_two else second

    def _pick_ejected(
        self, service: str, exclude: Collection[str], objects: ObjectSet, now: float
    ) -> Replica | None:
        best = None
        best_until = float("inf")
        for replica in objects.replicas_of(service):
            if replica.leaving or replica.name in exclude:
                continue
            seen = self.state_of(replica.name)
            if seen.reserved or seen.leaving_until is not None:
                continue
            if seen.ejected_until is not None and seen.ejected_until < best_until:
                best, best_until = replica, seen.ejected_until
        return best
