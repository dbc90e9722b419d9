"""Replicas that have left, which a copy of the store may still list."""

from collections.abc import Iterable

import msgspec

from jackdawsill.forwarding._model import ReplicaEntry, StorePosition

# A replica that has left is remembered for this time, longer than the store's copy is
# old: "some seconds" according to the platform's contract.
RETIRED_KEPT_S = 300.0
# An entry of the copy whose replica had left is used if it is still listed after this
# time. The store removes it after three heartbeats of silence, 3.6 s at the platform's
# usual interval.
HELD_BACK_S = 8.0


class _Retired(msgspec.Struct, frozen=True):
    """Last entry of a replica, and time and era of the store of its removal."""

    entry: ReplicaEntry
    era: int
    at: float


class RetiredReplicas:
    """Hold back listed entries of replicas that left in an earlier era of the store."""

    __slots__ = ("held_back_", "retired_")

    def __init__(self) -> None:
        self.retired_: dict[str, _Retired] = {}
        # Name -> entry of the copy, and until when it is held back.
        self.held_back_: dict[str, tuple[ReplicaEntry, float]] = {}

    def retire(self, entry: ReplicaEntry, era: int, now: float) -> None:
        """Record that a replica has left."""
        # In order of removal, so the oldest come first.
        while self.retired_:
            name, oldest = next(iter(self.retired_.items()))
            if now - oldest.at < RETIRED_KEPT_S:
                break
            del self.retired_[name]
        self.retired_.pop(entry.name, None)
        self.retired_[entry.name] = _Retired(entry, era, now)

    def forget(self, name: str) -> None:
        """Record that a replica's entry was written, or removed again."""
        self.retired_.pop(name, None)
        self.held_back_.pop(name, None)

    def hold_back(
        self, entries: Iterable[ReplicaEntry], position: StorePosition, now: float
    ) -> tuple[ReplicaEntry, ...]:
        """Return the entries of a list that may be used; keep the others for later."""
        before, self.held_back_ = self.held_back_, {}
        usable = []
        for entry in entries:
            retired = self.retired_.get(entry.name)
            if retired is None or not _was_written_before(entry, retired, position.era):
                usable.append(entry)
                continue
            _, until = before.get(entry.name, (entry, now + HELD_BACK_S))
            self.held_back_[entry.name] = (entry, until)
        return tuple(usable)

    def take_due(self, now: float) -> list[ReplicaEntry]:
        """Remove and return the entries that are still listed after HELD_BACK_S."""
        due = [entry for entry, until in self.held_back_.values() if now >= until]
        for entry in due:
            self.forget(entry.name)
        return due


def _was_written_before(entry: ReplicaEntry, retired: _Retired, era: int) -> bool:
    """Tell whether an entry listed in an era was written before its replica left."""
    last = retired.entry
    is_same = (last.incarnation, last.address, last.service) == (
        entry.incarnation,
        entry.address,
        entry.service,
    )
    return is_same and retired.era < era and entry.sequence <= last.sequence
