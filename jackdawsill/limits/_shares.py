"""Share of each replica's connections that this host may open."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from jackdawsill.objects import ObjectSet

# Headroom for hosts whose views of the fleet differ.
HEADROOM = 0.8
# A share that was reduced by a refusal regains one connection in this time.
SHARE_RECOVERY_S = 30.0


@dataclass(slots=True)
class _Share:
    """Connections to one replica: the computed share and the reduced one."""

    full: int
    current: int
    recover_at: float = 0.0
    # Number of hosts before this one in rendezvous order; None while all hosts
    # hold connections.
    rank: int | None = None


class ConnectionShares:
    """Divide connection caps among the known hosts without shared state.

    A change of the fleet adjusts the rank for each replica by one hash per host
    that came or went, because ranking all hosts anew for all replicas would cost
    the square of the fleet.
    """

    __slots__ = ("holders_", "hosts_", "objects_", "self_id", "shares_")

    def __init__(self, self_id: str = "") -> None:
        self.self_id = self_id
        self.hosts_: tuple[str, ...] = (self_id,)
        self.objects_: ObjectSet | None = None
        self.shares_: dict[str, _Share] = {}
        # Ranking 730 hosts takes 150 us, too long for each forwarded sub-request.
        self.holders_: dict[str, tuple[str, ...]] = {}

    def set_hosts(self, hosts: Sequence[str]) -> None:
        """Use a new view of the fleet, given as incarnations."""
        before = frozenset(self.hosts_)
        self.hosts_ = tuple(hosts)
        after = frozenset(self.hosts_)
        if before != after:
            added, removed = after - before, before - after
            for replica, share in self.shares_.items():
                self._adjust(replica, share, added, removed)
            for replica, kept in list(self.holders_.items()):
                if _changes_holders(replica, kept, added, removed):
                    del self.holders_[replica]

    def set_objects(self, objects: ObjectSet) -> None:
        """Use a new object set."""
        self.objects_ = objects
        self.shares_ = {r: s for r, s in self.shares_.items() if r in objects.replicas}
        for replica, share in self.shares_.items():
            self._adjust(replica, share, frozenset(), frozenset())
        known = objects.replicas
        self.holders_ = {r: k for r, k in self.holders_.items() if r in known}

    def share(self, replica: str, now: float) -> int:
        """Return how many connections to a replica this host may have open.

        0 means that this host holds none and forwards to one of `holders`.
        """
        share = self.shares_.get(replica)
        if share is None:
            share = self.shares_[replica] = _Share(0, 0)
            self._adjust(replica, share, frozenset(), frozenset())
        if share.current < share.full and now >= share.recover_at:
            share.current += 1
            share.recover_at = now + SHARE_RECOVERY_S
        return share.current

    def on_cap_refused(self, replica: str, now: float) -> int:
        """Halve the share after a refusal at the cap, and return it."""
        current = self.share(replica, now)
        share = self.shares_[replica]
        share.current = min(share.full, max(1, current // 2))
        share.recover_at = now + SHARE_RECOVERY_S
        return share.current

    def holders(self, replica: str) -> tuple[str, ...]:
        """Return the hosts that may open connections to a replica, in rank order."""
        n_usable = self._n_usable(replica)
        if n_usable >= len(self.hosts_):
            return self.hosts_
        kept = self.holders_.get(replica)
        if kept is None or len(kept) != n_usable:
            ranked = sorted(self.hosts_, key=lambda host: _score(replica, host))
            kept = self.holders_[replica] = tuple(ranked[:n_usable])
        return kept

    def _n_usable(self, replica: str) -> int:
        """Return how many connections all hosts may open together."""
        known = self.objects_.replicas.get(replica) if self.objects_ else None
        if known is None:
            return 1
        service = self.objects_.services[known.service]
        return int(HEADROOM * self.objects_.groups[service.group].max_connections)

    def _adjust(
        self,
        replica: str,
        share: _Share,
        added: frozenset[str],
        removed: frozenset[str],
    ) -> None:
        """Recompute a share; one that is reduced stays reduced."""
        n_usable = self._n_usable(replica)
        was_full = share.current >= share.full
        share.full = n_usable // max(1, len(self.hosts_))
        if share.full >= 1:
            share.rank = None
        else:
            own = _score(replica, self.self_id)
            if share.rank is None:
                share.rank = sum(_score(replica, host) < own for host in self.hosts_)
            else:
                share.rank += sum(_score(replica, host) < own for host in added)
                share.rank -= sum(_score(replica, host) < own for host in removed)
            share.full = int(share.rank < n_usable)
        share.current = share.full if was_full else min(share.current, share.full)


def _changes_holders(
    replica: str, kept: tuple[str, ...], added: frozenset[str], removed: frozenset[str]
) -> bool:
    """Tell whether a change of the fleet changes the first hosts in rank order."""
    if not kept or not removed.isdisjoint(kept):
        return True
    last = _score(replica, kept[-1])
    return any(_score(replica, host) < last for host in added)


def _score(replica: str, host: str) -> int:
    """Return the rendezvous hash of a replica and a host."""
    return xxhash.xxh3_64_intdigest(f"{replica}\x00{host}".encode())
