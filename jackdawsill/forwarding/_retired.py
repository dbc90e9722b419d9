"""Replicas that have left, which a copy of the store may still list."""

from collections.abc import Collection, Iterable, Mapping

import msgspec

from jackdawsill.forwarding._entry_order import is_earlier_process, is_same_process
from jackdawsill.forwarding._model import ReplicaEntry

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
    """Hold back listed entries that date from before the store's return from a copy.

    These are entries of replicas that left in an earlier era, and of processes in place
    of which others, started later, are known.
    """

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

    def select_usable(
        self,
        entries: Iterable[ReplicaEntry],
        replaced: Mapping[str, ReplicaEntry],
        lapsed: Collection[str],
        era: int,
        now: float,
    ) -> tuple[ReplicaEntry, ...]:
        """Return the entries of a complete list that may be used; hold back the others.

        `replaced` are the known entries if the list is the first one of its era.
        `lapsed` entries are not held back, as the store no longer has them.
        """
        before, self.held_back_ = self.held_back_, {}
        usable = []
        for entry in entries:
            name = entry.name
            kept, until = before.get(name, (None, now + HELD_BACK_S))
            if entry == kept or self._is_from_copy(entry, replaced.get(name), era):
                if name not in lapsed:
                    self.held_back_[name] = (entry, until)
            else:
                usable.append(entry)
        return tuple(usable)

    def _is_from_copy(
        self, entry: ReplicaEntry, known: ReplicaEntry | None, era: int
    ) -> bool:
        """Tell whether an entry was written before its replica left or was replaced."""
        if known is not None:
            return is_earlier_process(entry, known)
        retired = self.retired_.get(entry.name)
        if retired is None or retired.era >= era:
            return False
        last = retired.entry
        if is_same_process(last, entry):
            return entry.sequence <= last.sequence
        return is_earlier_process(entry, last)

    def take_due(self, now: float) -> list[ReplicaEntry]:
        """Remove and return the entries that are still listed after HELD_BACK_S."""
        due = [entry for entry, until in self.held_back_.values() if now >= until]
        for entry in due:
            self.forget(entry.name)
        return due
