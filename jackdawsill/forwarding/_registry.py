"""Replicas known to this host, and the choice of one for an attempt."""

import math
import random
from collections.abc import Collection, Iterable

from jackdawsill.forwarding._entry_order import (
    digest_entries,
    is_older,
    is_same_process,
    is_same_start,
)
from jackdawsill.forwarding._fleet import FleetSize
from jackdawsill.forwarding._leaving import LeavingReplicas
from jackdawsill.forwarding._limit_shares import LimitShares
from jackdawsill.forwarding._model import STORE_START, ReplicaEntry, StorePosition
from jackdawsill.forwarding._reach import ReplicaReach
from jackdawsill.forwarding._replica import LiveReplica, fastest
from jackdawsill.forwarding._retired import RetiredReplicas
from jackdawsill.forwarding._round_trips import RoundTrips
from jackdawsill.forwarding._sendable import index_by_service, sendable_at

# Entries that expire while the store is unreachable, or that the copy lacks from which
# it returns (lapsed entries), are kept for this time after it is reachable again. Live
# replicas register again within 2 s, according to the platform's contract.
LAPSE_KEPT_S = 2.0


class ReplicaRegistry:
    """Hold the known replicas by service, and choose the one for an attempt."""

    __slots__ = (
        "_digest",
        "by_service_",
        "changed_at_",
        "ended_",
        "held_",
        "leaving",
        "limit_shares",
        "may_lapse_",
        "misdirected_",
        "older_",
        "position_",
        "reach",
        "refused_",
        "replicas_",
        "retired",
        "round_trips",
        "store_lost_at_",
        "store_regained_at_",
    )

    def __init__(
        self,
        failure_domain: str,
        regions: dict[str, str],
        limit_shares: LimitShares | None = None,
    ) -> None:
        self.limit_shares = limit_shares or LimitShares(FleetSize())
        self.round_trips = RoundTrips(failure_domain, regions)
        self.reach = ReplicaReach()
        self.leaving = LeavingReplicas()
        self.held_: set[str] = set()  # replicas that have asked for time
        # Names of replicas that refused a connection since one opened.
        self.refused_: set[str] = set()
        self.replicas_: dict[str, LiveReplica] = {}
        self.by_service_: dict[str, list[LiveReplica]] = {}
        self.retired = RetiredReplicas()
        # Entries of replicas that have ended although the entries are still present.
        self.misdirected_: dict[str, ReplicaEntry] = {}
        self._digest: int | None = None
        self.position_: StorePosition | None = None
        self.changed_at_ = 0.0
        self.may_lapse_ = False  # as judged for the last change
        # Names in the last update whose entries were older than the known ones.
        self.older_: list[str] = []
        # Replicas that left without draining, in the last update.
        self.ended_: list[LiveReplica] = []
        self.store_lost_at_: float | None = None
        self.store_regained_at_: float | None = None

    def replace_all(
        self,
        entries: Iterable[ReplicaEntry],
        position: StorePosition,
        now: float,
        *,
        is_relayed: bool = False,
        lapsed: Collection[str] = (),
    ) -> list[str]:
        """Replace all entries; return the names whose connections must be closed.

        A list relayed by a peer comes from a store that the peer can reach, so no entry
        is missing only because the store was unreachable. Any entry may be missing from
        the copy from which the store has returned. The peer counts `lapsed` entries
        among its own, although the store lacks them.
        """
        replaced = {}
        may_lapse = False if is_relayed else None
        if self.position_ is not None and position.era > self.position_.era:
            self.store_regained_at_ = now
            may_lapse = True
            replaced = {name: r.entry for name, r in self.replicas_.items()}
        usable = self.retired.select_usable(
            entries, replaced, lapsed, position.era, now
        )
        names = {entry.name for entry in usable}
        gone = [
            name
            for name, replica in self.replicas_.items()
            if name not in names and not self._is_awaited(replica, now)
        ]
        self.misdirected_.clear()
        lapsed_at = {
            name: replica.lapsed_at
            for name, replica in self.replicas_.items()
            if replica.lapsed_at is not None
        }
        dropped = self._apply(
            usable,
            gone,
            position,
            now,
            may_lapse=may_lapse,
            # A list at the known position lacks only what has expired.
            has_expired=position == self.position_,
        )
        for name in lapsed:
            if name in self.replicas_:
                self.replicas_[name].lapsed_at = lapsed_at.get(name, now)
        return dropped

    def apply_changes(
        self,
        written: Iterable[ReplicaEntry],
        removed: Iterable[str],
        position: StorePosition,
        now: float,
        *,
        may_lapse: bool | None = None,
        has_expired: bool = False,
    ) -> list[str]:
        """Apply changed entries; return the names whose connections must be closed.

        These are replicas that were removed, restarted or began to drain. `may_lapse`
        tells whether entries may be missing only because the store was unreachable;
        None decides it by whether this host can reach the store. With `has_expired`, a
        peer removes lapsed entries, which the store has not listed for a while. An
        entry that its replica wrote before the known one is ignored.
        """
        removed = tuple(removed)
        for name in removed:
            self.retired.forget(name)
        return self._apply(
            written,
            removed,
            position,
            now,
            may_lapse=may_lapse,
            has_expired=has_expired,
        )

    def _apply(
        self,
        written: Iterable[ReplicaEntry],
        removed: Iterable[str],
        position: StorePosition,
        now: float,
        *,
        may_lapse: bool | None,
        has_expired: bool,
    ) -> list[str]:
        if may_lapse is None:
            may_lapse = self._may_have_lapsed(now)
        self.may_lapse_ = may_lapse
        self.position_ = position
        dropped = []
        self.older_ = []
        self.ended_ = []
        for entry in written:
            self.misdirected_.pop(entry.name, None)
            self.retired.forget(entry.name)
            known = self.replicas_.get(entry.name)
            if known is not None and is_same_process(known.entry, entry):
                # Also an older entry shows that the store lists the replica.
                known.lapsed_at = None
                if is_older(entry, known.entry):
                    self.older_.append(entry.name)
                    continue
                if entry.draining and not known.entry.draining:
                    dropped.append(entry.name)
                known.entry = entry
                continue
            if known is not None:
                dropped.append(entry.name)
                self._record_end(known, now)
            self.replicas_[entry.name] = LiveReplica(entry, now)
            if known is not None and is_same_start(known.entry, entry):
                self.replicas_[entry.name].held_until = known.held_until
        for name in removed:
            self.misdirected_.pop(name, None)
            known = self.replicas_.get(name)
            if known is None:
                continue
            if may_lapse and not known.entry.draining:
                known.lapsed_at = now if known.lapsed_at is None else known.lapsed_at
                continue
            if not has_expired:
                self.retired.retire(known.entry, position.era, now)
            self._record_end(known, now)
            self.leaving.on_removed(known.entry)
            del self.replicas_[name]
            dropped.append(name)
        self.changed_at_ = now
        self._rebuild_index()
        return dropped

    def _record_end(self, replica: LiveReplica, at: float) -> None:
        """Record that a replica has ended, unless it was draining."""
        if not replica.entry.draining:
            replica.ended_at = at
            self.ended_.append(replica)

    def expire(self, now: float) -> list[str]:
        """Remove lapsed replicas that did not register again; return their names."""
        if self._is_store_away:
            return []
        gone = [
            name
            for name, replica in self.replicas_.items()
            if replica.lapsed_at is not None and now >= replica.lapsed_at + LAPSE_KEPT_S
        ]
        self.ended_ = []
        for name in gone:
            # It may have ended at any time while the store was away.
            self._record_end(self.replicas_.pop(name), -math.inf)
        if gone:
            self._rebuild_index()
        return gone

    @property
    def known_position(self) -> StorePosition:
        """Return the position of the known entries, or one before all others."""
        return self.position_ or STORE_START

    @property
    def lapsed_names(self) -> tuple[str, ...]:
        """Return the names of replicas that are kept although the store lacks them."""
        return tuple(
            name
            for name, replica in self.replicas_.items()
            if replica.lapsed_at is not None
        )

    def is_listed(self, name: str) -> bool:
        """Tell whether an entry is known, even if its replica has been found to end."""
        return name in self.replicas_ or name in self.misdirected_

    def advance(self, position: StorePosition) -> None:
        """Take over a position up to which nothing else has changed.

        Only a complete list leads to another era.
        """
        if self.position_ is not None and position.era == self.position_.era:
            self.position_ = max(self.position_, position)

    def remove(self, name: str, now: float) -> None:
        """Remove a replica that has ended although its entry is still present."""
        replica = self.replicas_.pop(name, None)
        if replica is not None:
            self._record_end(replica, now)
            self.misdirected_[name] = replica.entry
            self._rebuild_index()

    @property
    def digest(self) -> int:
        """Return a digest of the entries, by which two hosts compare theirs.

        It includes the entries of replicas that only this host found to have ended.
        """
        if self._digest is None:
            entries = [replica.entry for replica in self.replicas_.values()]
            entries += self.misdirected_.values()
            self._digest = digest_entries(entries)
        return self._digest

    def on_store_lost(self, now: float) -> None:
        """Record that the store is unreachable, so that entries may be outdated."""
        if self.store_lost_at_ is None:
            self.store_lost_at_ = now

    def on_store_regained(self, now: float) -> None:
        """Record that the store is reachable again.

        Lapsed entries are kept for LAPSE_KEPT_S from now.
        """
        self.store_lost_at_ = None
        self.store_regained_at_ = now
        for replica in self.replicas_.values():
            if replica.lapsed_at is not None:
                replica.lapsed_at = now

    def on_connected(self, replica: str, elapsed_s: float, now: float) -> None:
        """Update replica and round-trip time to its domain from a new connection."""
        known = self.replicas_.get(replica)
        if known is None:
            return
        known.on_connected(now)
        self.round_trips.record(known.entry.failure_domain, elapsed_s)

    def mark_leaving(self, name: str, incarnation: str, *, is_own: bool) -> bool:
        """Send nothing more to a process that leaves; return whether this is news."""
        if not self.leaving.add(name, incarnation, is_own=is_own):
            return False
        self._rebuild_index()
        return True

    def forget_failures(self) -> None:
        """Use all replicas again, since this host was cut off from them."""
        for replica in self.replicas_.values():
            replica.forget_failures()

    def rtt_s(self, domain: str) -> float:
        """Return the expected round-trip time to a failure domain."""
        return self.round_trips.expected_s(domain)

    def n_available(self, service: str, now: float) -> int:
        """Return how many replicas of a service are not ejected."""
        replicas = self.by_service_.get(service, ())
        return sum(not replica.is_ejected(now) for replica in replicas)

    def available_at(self, service: str, now: float) -> float:
        """Return when a replica of a service may get a request of this host.

        Infinity if no replica is known that does not leave.
        """
        replicas = self.by_service_.get(service, ())
        return min((self._sendable_at(r, now) for r in replicas), default=math.inf)

    def take_slot(self, replica: LiveReplica, now: float) -> None:
        """Count an attempt that is sent now against the replica's limit."""
        if replica.rate_share is not None:
            divisor = self.limit_shares.divisor(replica.entry.service, now)
            replica.rate_share.take(divisor, now)

    def _sendable_at(self, replica: LiveReplica, now: float) -> float:
        n_hosts = 1.0
        if replica.rate_share is not None:
            n_hosts = self.limit_shares.divisor(replica.entry.service, now)
        return sendable_at(replica, n_hosts, now)

    def pick(
        self,
        service: str,
        exclude: Collection[str],
        typical_s: float,
        now: float,
        rng: random.Random,
    ) -> LiveReplica | None:
        """Return the replica with the lowest expected latency, or None if none is left.

        An ejected replica is returned only if no other one is left, because an attempt
        that may fail is better than a part that is certainly missing. A replica that
        may get no request now (`sendable_at`) is never returned.
        """
        usable = [
            replica
            for replica in self.by_service_.get(service, ())
            if replica.entry.name not in exclude
            and self._sendable_at(replica, now) <= now
        ]
        return fastest(usable, self.rtt_s, typical_s, now, rng)

    @property
    def _is_store_away(self) -> bool:
        """Tell whether it is away, and no list of a peer shows that it has returned."""
        lost, regained = self.store_lost_at_, self.store_regained_at_
        return lost is not None and (regained is None or regained < lost)

    def _is_awaited(self, replica: LiveReplica, now: float) -> bool:
        """Tell whether a lapsed replica still has time to register again."""
        return replica.lapsed_at is not None and self._was_just_regained(now)

    def _was_just_regained(self, now: float) -> bool:
        regained = self.store_regained_at_
        return regained is not None and now < regained + LAPSE_KEPT_S

    def _may_have_lapsed(self, now: float) -> bool:
        """Tell whether entries may be missing because the store was unreachable."""
        return self.store_lost_at_ is not None or self._was_just_regained(now)

    def _rebuild_index(self) -> None:
        self.by_service_ = index_by_service(self.replicas_.values(), self.leaving)
        self._digest = None
