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


class ConnectionShares:
    """Divide connection caps among the known hosts without shared state."""

    __slots__ = ("hosts_", "objects_", "self_id", "shares_")

    def __init__(self, self_id: str = "") -> None:
        self.self_id = self_id
        self.hosts_: tuple[str, ...] = (self_id,)
        self.objects_: ObjectSet | None = None
        self.shares_: dict[str, _Share] = {}

    def set_hosts(self, hosts: Sequence[str]) -> None:
        """Use a new view of the fleet, given as incarnations."""
        hosts = tuple(hosts)
        is_same = set(hosts) == set(self.hosts_)
        self.hosts_ = hosts
        if not is_same:
            self._recompute()

    def set_objects(self, objects: ObjectSet) -> None:
        """Use a new object set."""
        self.objects_ = objects
        self._recompute()

    def share(self, replica: str, now: float) -> int:
        """Return how many connections to a replica this host may have open.

        0 means that this host holds none and forwards to one of `holders`.
        """
        share = self.shares_.get(replica)
        if share is None:
            full = self._full(replica)
            share = self.shares_[replica] = _Share(full, full)
        if share.current < share.full and now >= share.recover_at:
            share.current += 1
            share.recover_at = now + SHARE_RECOVERY_S
        return share.current

    def on_cap_refused(self, replica: str, now: float) -> int:
        """Halve the share after a refusal at the cap, and return it."""
        current = self.share(replica, now)
        share = self.shares_[replica]
        share.current = max(1, current // 2)
        share.recover_at = now + SHARE_RECOVERY_S
        return share.current

    def holders(self, replica: str) -> tuple[str, ...]:
        """Return the hosts that may open connections to a replica, in rank order."""
        n_usable = int(HEADROOM * self._cap(replica))
        if n_usable >= len(self.hosts_):
            return self.hosts_
        ranked = sorted(
            self.hosts_,
            key=lambda host: xxhash.xxh3_64_intdigest(f"{replica}\x00{host}".encode()),
        )
        return tuple(ranked[:n_usable])

    def _cap(self, replica: str) -> int:
        known = self.objects_.replicas.get(replica) if self.objects_ else None
        if known is None:
            return 1
        service = self.objects_.services[known.service]
        return self.objects_.groups[service.group].max_connections

    def _full(self, replica: str) -> int:
        n_each = int(HEADROOM * self._cap(replica)) // max(1, len(self.hosts_))
        if n_each >= 1:
            return n_each
        return int(self.self_id in self.holders(replica))

    def _recompute(self) -> None:
        """Drop computed shares; reduced ones are kept below the new share.

        Only replicas in use are kept, and `share` computes the others on demand.
        """
        kept: dict[str, _Share] = {}
        for replica, share in self.shares_.items():
            if share.current >= share.full:
                continue
            if self.objects_ and replica in self.objects_.replicas:
                full = self._full(replica)
                current = min(share.current, full)
                kept[replica] = _Share(full, current, share.recover_at)
        self.shares_ = kept
