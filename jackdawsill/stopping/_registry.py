"""Registry of pending work and handovers that a graceful stop waits for."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from jackdawsill.core import Effect, HostState


@dataclass(slots=True, frozen=True)
class PendingWork:
    """Number of unfinished requests of a component and their latest deadline.

    `latest_deadline_at` is a monotonic time, None without a known deadline.
    """

    n_pending: int
    latest_deadline_at: float | None = None


class BaseHandover:
    """Transfer of state from a stopping host to one successor."""

    def begin(
        self, state: HostState, successor: str | None, now: float
    ) -> list[Effect]:
        """Stop using the state permanently and send it to the successor.

        The successor may use the state as soon as it is sent. `successor` is an
        incarnation, or None if no peer is linked.
        """
        raise NotImplementedError

    def is_done(self, state: HostState) -> bool:
        """Return whether the successor has acknowledged all state, or there is none."""
        raise NotImplementedError


PendingWorkReport = Callable[[HostState], PendingWork]
H = TypeVar("H", bound=type[BaseHandover])

PENDING_WORK_REPORTS: dict[str, PendingWorkReport] = {}
HANDOVERS: dict[str, BaseHandover] = {}


def register_pending_work(
    name: str,
) -> Callable[[PendingWorkReport], PendingWorkReport]:
    """Return a decorator that registers a report of pending work."""

    def decorate(report: PendingWorkReport) -> PendingWorkReport:
        if name in PENDING_WORK_REPORTS:
            raise ValueError(f"pending work report {name} is already registered")
        PENDING_WORK_REPORTS[name] = report
        return report

    return decorate


def register_handover(name: str) -> Callable[[H], H]:
    """Return a class decorator that registers a handover."""

    def decorate(handover_type: H) -> H:
        if name in HANDOVERS:
            raise ValueError(f"handover {name} is already registered")
        HANDOVERS[name] = handover_type()
        return handover_type

    return decorate
