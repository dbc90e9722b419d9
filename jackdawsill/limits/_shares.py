"""Number of connections to each replica that this host may open."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from jackdawsill.objects import ObjectSet

# Fraction of a replica's connection cap that all hosts together may use. The rest is a
# margin for hosts whose lists of members differ.
USABLE_FRACTION = 0.8
# A share that was reduced by a refusal regains one connection per this time.
SHARE_RECOVERY_S = 30.0


@dataclass(slots=True)
class _Share:
    """Connections to one replica: the full share, and the current, reduced one."""

    full: int
    current: int
    recover_at: float = 0.0
    # Number of hosts before this one in rendezvous order; None while every host may
    # open a connection.
    rank: int | None = None


class ConnectionShares:
    """Divide connection caps among the known hosts without shared state.

    If the hosts outnumber the connections, those with the lowest rendezvous hash get
    one each.
    """

    __slots__ = ("holders_", "hosts_", "objects_", "self_id", "shares_")

    def __init__(self, self_id: str = "") -> None:
        self.self_id = self_id
        self.hosts_: tuple[str, ...] = (self_id,)
        self.objects_: ObjectSet | None = None
        self.shares_: dict[str, _Share] = {}
        # Replica -> cached result of `holders`. Ranking 730 hosts takes 150 us, which
        # is too long for each forwarded sub-request.
        self.holders_: dict[str, tuple[str, ...]] = {}

    def set_hosts(self, hosts: Sequence[str]) -> None:
        """Use a new list of live hosts, given as incarnations."""
        before = frozenset(self.hosts_)
        self.hosts_ = tuple(hosts)
        after = frozenset(self.hosts_)
        if before != after:
            added, removed = after - before, before - after
            for replica, share in self.shares_.items():
                self._recompute_share(replica, share, added, removed)
            for replica, cached in list(self.holders_.items()):
                if _changes_holders(replica, cached, added, removed):
                    del self.holders_[replica]

    def set_objects(self, objects: ObjectSet) -> None:
        """Use a new object set, and remove replicas that it does not contain."""
        self.objects_ = objects
        self.shares_ = {r: s for r, s in self.shares_.items() if r in objects.replicas}
        for replica, share in self.shares_.items():
            self._recompute_share(replica, share, frozenset(), frozenset())
        known = objects.replicas
        self.holders_ = {r: k for r, k in self.holders_.items() if r in known}

    def share(self, replica: str, now: float) -> int:
        """Return how many connections to a replica this host may have open.

        0 means that it must forward sub-requests to one of `holders`.
        """
        share = self.shares_.get(replica)
        if share is None:
            share = self.shares_[replica] = _Share(0, 0)
            self._recompute_share(replica, share, frozenset(), frozenset())
        if share.current < share.full and now >= share.recover_at:
            share.current += 1
            share.recover_at = now + SHARE_RECOVERY_S
        return share.current

    def on_cap_refused(self, replica: str, now: float) -> int:
        """Halve the share after a connection was refused at the cap, and return it."""
        current = self.share(replica, now)
        share = self.shares_[replica]
        share.current = min(share.full, max(1, current // 2))
        share.recover_at = now + SHARE_RECOVERY_S
        return share.current

    def holders(self, replica: str) -> tuple[str, ...]:
        """Return the holders of a replica: the hosts that may connect, by rank."""
        n_connections = self._n_fleet_connections(replica)
        if n_connections >= len(self.hosts_):
            return self.hosts_
        cached = self.holders_.get(replica)
        if cached is None or len(cached) != n_connections:
            ranked = sorted(
                self.hosts_, key=lambda host: _rendezvous_hash(replica, host)
            )
            cached = self.holders_[replica] = tuple(ranked[:n_connections])
        return cached

    def _n_fleet_connections(self, replica: str) -> int:
        """Return how many connections to the replica all hosts may open together."""
        known = self.objects_.replicas.get(replica) if self.objects_ else None
        if known is None:
            return 1
        service = self.objects_.services[known.service]
        return int(
            USABLE_FRACTION * self.objects_.groups[service.group].max_connections
        )

    def _recompute_share(
        self,
        replica: str,
        share: _Share,
        added: frozenset[str],
        removed: frozenset[str],
    ) -> None:
        """Recompute a share; one that a refusal has reduced stays reduced.

        Only added and removed hosts are hashed to update the rank. Ranking all hosts
        again for each replica would take time quadratic in the size of the fleet.
        """
        n_connections = self._n_fleet_connections(replica)
        was_unreduced = share.current >= share.full
        share.full = n_connections // max(1, len(self.hosts_))
        if share.full >= 1:
            share.rank = None
        else:
            own = _rendezvous_hash(replica, self.self_id)
            if share.rank is None:
                share.rank = sum(
                    _rendezvous_hash(replica, host) < own for host in self.hosts_
                )
            else:
                share.rank += sum(
                    _rendezvous_hash(replica, host) < own for host in added
                )
                share.rank -= sum(
                    _rendezvous_hash(replica, host) < own for host in removed
                )
            share.full = int(share.rank < n_connections)
        share.current = share.full if was_unreduced else min(share.current, share.full)


def _changes_holders(
    replica: str,
    cached: tuple[str, ...],
    added: frozenset[str],
    removed: frozenset[str],
) -> bool:
    """Tell whether a change of the fleet may change the cached holders."""
    if not cached or not removed.isdisjoint(cached):
        return True
    last = _rendezvous_hash(replica, cached[-1])
    return any(_rendezvous_hash(replica, host) < last for host in added)


def _rendezvous_hash(replica: str, host: str) -> int:
    """Return the rendezvous hash of a replica and a host."""
    return xxhash.xxh3_64_intdigest(f"{replica}\x00{host}".encode())
