"""Replicas that have said in an answer that they leave."""

from collections import OrderedDict

import msgspec

from jackdawsill.forwarding._model import ReplicaEntry

# Replicas that are remembered, also when their entries are gone, to bound memory.
MAX_LEAVING_KEPT = 2048


class _Leaving(msgspec.Struct, frozen=True):
    """Process that leaves; `is_own` if this host has got such an answer itself."""

    incarnation: str
    is_own: bool


class LeavingReplicas:
    """Remember which process of each replica has said that it leaves.

    It is told by the process itself, so neither its entry nor a list or a peer takes it
    back. It ends with the process: a later one under the name is not affected.
    """

    __slots__ = ("leaving_",)

    def __init__(self) -> None:
        self.leaving_: OrderedDict[str, _Leaving] = OrderedDict()

    def add(self, name: str, incarnation: str, *, is_own: bool) -> bool:
        """Record that a process leaves; return whether this is news."""
        known = self.leaving_.get(name)
        if known is not None:
            if _is_later(known.incarnation, incarnation):
                return False
            is_same = known.incarnation == incarnation
            if is_same and (known.is_own or not is_own):
                return False
        self.leaving_[name] = _Leaving(incarnation, is_own)
        self.leaving_.move_to_end(name)
        while len(self.leaving_) > MAX_LEAVING_KEPT:
            self.leaving_.popitem(last=False)
        return True

    def on_removed(self, entry: ReplicaEntry) -> None:
        """Forget a replica that is gone, unless a later entry could be the same one.

        Only the start time of a process tells it from an earlier one under the name.
        """
        if not entry.incarnation:
            self.leaving_.pop(entry.name, None)

    def is_leaving(self, entry: ReplicaEntry) -> bool:
        """Tell whether the process of an entry leaves."""
        known = self.leaving_.get(entry.name)
        return known is not None and not _is_later(entry.incarnation, known.incarnation)

    def is_only_reported(self, entry: ReplicaEntry) -> bool:
        """Tell whether only other hosts have reported that a replica leaves."""
        known = self.leaving_.get(entry.name)
        return known is not None and not known.is_own

    def known(self) -> list[tuple[str, str]]:
        """Return names and incarnations of all processes known to leave."""
        return [(name, known.incarnation) for name, known in self.leaving_.items()]


def _is_later(incarnation: str, known: str) -> bool:
    """Tell whether a process started after another one of the same name."""
    return (len(incarnation), incarnation) > (len(known), known)
