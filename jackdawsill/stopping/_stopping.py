"""Phases of a host from start to graceful stop."""

from enum import StrEnum


class Phase(StrEnum):
    """Name the phases of a host in their order."""

    JOINING = "joining"
    SERVING = "serving"
    LAMEDUCK = "lameduck"
    DRAINING = "draining"
    HANDOVER = "handover"
    EXIT = "exit"


class Stopping:
    """Own the phase of the host."""

    __slots__ = ("phase_",)

    def __init__(self) -> None:
        self.phase_ = Phase.JOINING

    def accepts_new(self) -> bool:
        """Tell whether new requests are taken."""
        return self.phase_ in (Phase.SERVING, Phase.LAMEDUCK)
