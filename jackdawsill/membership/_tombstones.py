"""Tombstones: the successors of stopped incarnations."""

import xxhash

from jackdawsill.membership._messages import Tombstone

TOMBSTONE_TTL_S = 3600.0


class Tombstones:
    """Incarnations that took over the tickets of stopped ones, until they expire."""

    __slots__ = ("digest_", "successors_")

    def __init__(self) -> None:
        self.successors_: dict[str, tuple[str, float]] = {}  # successor and expiry
        self.digest_ = 0  # xor over all tombstones

    def add(self, tombstone: Tombstone, now: float) -> bool:
        """Record a tombstone; return whether it is new and not expired."""
        remaining_s = min(tombstone.remaining_s, TOMBSTONE_TTL_S)
        if tombstone.incarnation in self.successors_ or remaining_s <= 0:
            return False
        expires_at = now + remaining_s
        self.successors_[tombstone.incarnation] = (tombstone.successor, expires_at)
        self.digest_ ^= _hash(tombstone.incarnation, tombstone.successor)
        return True

    def successor_of(self, incarnation: str) -> str | None:
        """Return the last successor in the chain, or None without one or in a cycle."""
        found = None
        seen = {incarnation}
        while (tombstone := self.successors_.get(incarnation)) is not None:
            incarnation = found = tombstone[0]
            if incarnation in seen:
                return None
            seen.add(incarnation)
        return found

    def messages(self, now: float) -> list[Tombstone]:
        """Return all tombstones as messages with their remaining time."""
        return [
            Tombstone(incarnation, successor, expires_at - now)
            for incarnation, (successor, expires_at) in self.successors_.items()
        ]

    def expire(self, now: float) -> None:
        """Drop the expired tombstones."""
        for incarnation, (successor, expires_at) in list(self.successors_.items()):
            if now >= expires_at:
                del self.successors_[incarnation]
                self.digest_ ^= _hash(incarnation, successor)


def _hash(incarnation: str, successor: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{incarnation}\x00{successor}".encode())
