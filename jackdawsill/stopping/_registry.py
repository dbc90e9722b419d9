"""What components register so that a stop waits for them."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from jackdawsill.core import Effect, HostState


@dataclass(slots=True, frozen=True)
class PendingWork:
    """Work that a component has not finished, and its last deadline."""

    n: int
    latest_deadline_at: float | None = None


class BaseHandover:
    """State that a stopping host gives to one successor."""

    def begin(
        self, state: HostState, successor: str | None, now: float
    ) -> list[Effect]:
        """Stop deciding for good and send the state; there may be no successor."""
        raise NotImplementedError

    def is_done(self, state: HostState) -> bool:
        """Tell whether the successor has acknowledged."""
        raise NotImplementedError


InHandReport = Callable[[HostState], PendingWork]
H = TypeVar("H", bound=type[BaseHandover])

PENDING_WORK_REPORTS: dict[str, InHandReport] = {}
HANDOVERS: dict[str, BaseHandover] = {}


def register_pending_work(name: str) -> Callable[[InHandReport], InHandReport]:
    """Return a decorator that registers a report of unfinished work."""

    def decorate(report: InHandReport) -> InHandReport:
        if name in PENDING_WORK_REPORTS:
            raise ValueError(f"the report {name} is already registered")
        PENDING_WORK_REPORTS[name] = report
        return report

    return decorate


def register_handover(name: str) -> Callable[[H], H]:
    """Return a class decorator that registers a handover."""

    def decorate(handover_type: H) -> H:
        if name in HANDOVERS:
            raise ValueError(f"the handover {name} is already registered")
        HANDOVERS[name] = handover_type()
        return handover_type

    return decorate
