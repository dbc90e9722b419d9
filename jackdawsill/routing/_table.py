"""Table of the observed replicas, and the choice of one for a sub-request."""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from jackdawsill.core import FailureKind, LoadReport
from jackdawsill.objects import ObjectSet, Replica
from jackdawsill.routing._replica import (
    CONSECUTIVE_FAILURES,
    EJECT_AT_ONCE,
    LATENCY_WEIGHT,
    LEAVING_TTL_S,
    N_FAILURES_TO_EJECT,
    ReplicaState,
)

# A replica in the failure domain of this host is preferred if its expected latency is
# at most this factor higher.
LOCAL_DOMAIN_TOLERANCE = 1.2
# Start ids of notices are kept for this time, so that a copy of a notice that comes
# back from other hosts does not mark a replica as leaving again after its return.
NOTICE_DEDUPLICATION_S = 120.0


@dataclass(slots=True, frozen=True)
class LeavingMark:
    """A replica that gets no new work; `ttl_s` is the time until the mark expires."""

    replica: str
    start_id: str
    ttl_s: float


class ReplicaTable:
    """Observations of replicas, and a choice by the power of two choices.

    Of two random usable replicas, the one with the lower expected latency is chosen
    (Mitzenmacher, 2001).
    """

    __slots__ = ("failure_domain", "known_start_ids_", "replicas_")

    def __init__(self, failure_domain: str = "") -> None:
        self.failure_domain = failure_domain
        self.replicas_: dict[str, ReplicaState] = {}
        self.known_start_ids_: dict[str, float] = {}  # start id -> expiry time

    def state_of(self, replica: str) -> ReplicaState:
        """Return the observations of a replica; a new one is added to the table."""
        observed = self.replicas_.get(replica)
        if observed is None:
            observed = self.replicas_[replica] = ReplicaState()
        return observed

    def may_use(self, replica: str, now: float) -> bool:
        """Return whether new work may be sent to a replica."""
        return self.state_of(replica).may_use(now)

    def pick(
        self,
        service: str,
        exclude: Collection[str],
        objects: ObjectSet,
        now: float,
        rng: random.Random,
        *,
        allow_ejected: bool = True,
    ) -> Replica | None:
        """Return a replica for one sub-request, or None if none may be used.

        With `allow_ejected`, if no replica is usable, the ejected one whose backoff
        ends first is returned: an attempt that may fail is better than a shard that
        is certainly missing.
        """
        replicas = self.replicas_
        usable = []
        for replica in objects.replicas_by_service_.get(service, ()):
            name = replica.name
            if replica.leaving or name in exclude:
                continue
            observed = replicas.get(name) or self.state_of(name)
            if not observed.is_restricted or observed.may_use(now):
                usable.append(replica)
        n_usable = len(usable)
        if n_usable == 0:
            if not allow_ejected:
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
        return self._choose_between(first, second, now, rng)

    def usable_replicas(
        self, service: str, exclude: Collection[str], objects: ObjectSet, now: float
    ) -> list[Replica]:
        """Return all replicas of a service to which new work may be sent."""
        return [
            r
            for r in objects.replicas_of(service)
            if not r.leaving and r.name not in exclude and self.may_use(r.name, now)
        ]

    def on_sent(self, replica: str, now: float) -> None:
        """Count a sub-request in flight."""
        self.state_of(replica).in_flight += 1

    def on_ended(self, replica: str) -> None:
        """Count the end of a sub-request in flight, whatever its outcome is.

        It is separate from `on_answer` and `on_failure`, because a sub-request may end
        without a known outcome.
        """
        self.state_of(replica).on_ended()

    def on_answer(
        self, replica: str, latency_s: float, load: LoadReport | None, now: float
    ) -> None:
        """Record an answer; a replica that was ejected starts to ramp up."""
        self.state_of(replica).on_answer(latency_s, load, now)

    def on_cancelled(self, replica: str, elapsed_s: float, now: float) -> None:
        """Record a cancelled sub-request; its latency is at least `elapsed_s`."""
        observed = self.state_of(replica)
        if elapsed_s > observed.latency_s:
            observed.latency_s += LATENCY_WEIGHT * (elapsed_s - observed.latency_s)

    def on_failure(self, replica: str, kind: FailureKind, now: float) -> float:
        """Record a failure; return the backoff in seconds if it ejects, else 0.0."""
        observed = self.state_of(replica)
        if kind in CONSECUTIVE_FAILURES:
            observed.n_failures += 1
        elif kind not in EJECT_AT_ONCE:
            return 0.0
        # Failures during the backoff are of sub-requests sent before the ejection; they
        # must not double the backoff.
        if observed.ejected_until is not None and now < observed.ejected_until:
            return 0.0
        if kind in EJECT_AT_ONCE or observed.n_failures >= N_FAILURES_TO_EJECT:
            return observed.eject(now)
        return 0.0

    def mark_leaving(
        self, replica: str, now: float, ttl_s: float = LEAVING_TTL_S
    ) -> bool:
        """Record that a replica is leaving, for `ttl_s` seconds.

        Return whether this is the first evidence.
        """
        observed = self.state_of(replica)
        is_first = observed.leaving_until is None or now >= observed.leaving_until
        observed.leaving_until = max(observed.leaving_until or 0.0, now + ttl_s)
        observed.is_restricted = True
        return is_first

    def on_notice(self, replica: str, start_id: str, ttl_s: float, now: float) -> bool:
        """Record a notice of a peer; return whether it is the first evidence here.

        A known `start_id` or a `ttl_s` out of range is ignored.
        """
        if start_id in self.known_start_ids_:
            return False
        self.record_start_id(start_id, now)
        if not 0 < ttl_s <= LEAVING_TTL_S:
            return False
        is_first = self.mark_leaving(replica, now, ttl_s)
        if is_first:
            self.state_of(replica).leaving_start_id = start_id
        return is_first

    def leaving_marks(self, now: float) -> list[LeavingMark]:
        """Return the marks that have not expired, for newly connected peers."""
        return [
            LeavingMark(name, observed.leaving_start_id, observed.leaving_until - now)
            for name, observed in self.replicas_.items()
            if observed.leaving_until is not None
            and observed.leaving_until > now
            and observed.leaving_start_id
        ]

    def record_start_id(self, start_id: str, now: float) -> None:
        """Record a start id, and drop the expired ones."""
        while self.known_start_ids_:
            oldest = next(iter(self.known_start_ids_))
            if self.known_start_ids_[oldest] > now:
                break
            del self.known_start_ids_[oldest]
        self.known_start_ids_[start_id] = now + NOTICE_DEDUPLICATION_S

    def reserve(self, replica: str) -> None:
        """Reserve a replica for a canary: no other new work until `release`."""
        observed = self.state_of(replica)
        observed.reserved = True
        observed.is_restricted = True

    def release(self, replica: str) -> None:
        """End a reservation."""
        observed = self.state_of(replica)
        observed.reserved = False
        observed.update_is_restricted()

    def prune(self, known: Iterable[str]) -> None:
        """Drop replicas that are not in `known` and have no work in flight."""
        known = frozenset(known)
        for name in [n for n in self.replicas_ if n not in known]:
            if not self.replicas_[name].in_flight:
                del self.replicas_[name]

    def _choose_between(
        self, first: Replica, second: Replica, now: float, rng: random.Random
    ) -> Replica:
        """Return the replica with the lower expected latency.

        A replica in the local failure domain is preferred, and one that ramps up is
        chosen less often.
        """
        one = self.state_of(first.name)
        two = self.state_of(second.name)
        if one.is_restricted or two.is_restricted:
            # The replica with the smaller ramp fraction is considered only with the
            # probability of that fraction.
            ramp_one, ramp_two = one.ramp_fraction(now), two.ramp_fraction(now)
            if ramp_one < ramp_two and rng.random() >= ramp_one:
                return second
            if ramp_two < ramp_one and rng.random() >= ramp_two:
                return first
        latency_one, latency_two = (
            one.expected_latency_s(now),
            two.expected_latency_s(now),
        )
        local_domain = self.failure_domain
        if first.failure_domain != second.failure_domain:
            if first.failure_domain == local_domain:
                latency_two *= LOCAL_DOMAIN_TOLERANCE
            elif second.failure_domain == local_domain:
                latency_one *= LOCAL_DOMAIN_TOLERANCE
        return first if latency_one <= latency_two else second

    def _pick_ejected(
        self, service: str, exclude: Collection[str], objects: ObjectSet, now: float
    ) -> Replica | None:
        best = None
        earliest_until = float("inf")
        for replica in objects.replicas_of(service):
            if replica.leaving or replica.name in exclude:
                continue
            observed = self.state_of(replica.name)
            if observed.reserved or observed.leaving_until is not None:
                continue
            if (
                observed.ejected_until is not None
                and observed.ejected_until < earliest_until
            ):
                best, earliest_until = replica, observed.ejected_until
        return best
