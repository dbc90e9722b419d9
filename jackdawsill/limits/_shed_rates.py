"""Fraction of sub-requests that each service shed in the last second."""

from dataclasses import dataclass

# A service that shed more than this fraction gets no retries.
SHED_FRACTION_MAX = 0.1
# Least number of shed sub-requests that counts. Otherwise the only sub-request of an
# idle service would be a fraction of 1.
N_SHED_MIN = 3
# Length of a window. The fraction covers the current and the previous window, which is
# between 0.5 and 1 s.
WINDOW_S = 0.5


@dataclass(slots=True)
class _ShedCounts:
    """Counts of shed and answered sub-requests in the current and previous window."""

    ends_at: float
    n_shed: int = 0
    n_answered: int = 0
    previous_n_shed: int = 0
    previous_n_answered: int = 0

    def advance(self, now: float) -> None:
        """Start a new window when the current one has ended."""
        if now < self.ends_at:
            return
        is_recent = now < self.ends_at + WINDOW_S
        self.previous_n_shed = self.n_shed if is_recent else 0
        self.previous_n_answered = self.n_answered if is_recent else 0
        self.n_shed = self.n_answered = 0
        self.ends_at = now + WINDOW_S


class ShedWatch:
    """Detect services that shed load, so that retries do not add to the load."""

    __slots__ = ("windows_",)

    def __init__(self) -> None:
        self.windows_: dict[str, _ShedCounts] = {}

    def on_shed(self, service: str, now: float) -> None:
        """Count a shed sub-request."""
        window = self._window(service, now)
        window.advance(now)
        window.n_shed += 1

    def on_answer(self, service: str, now: float) -> None:
        """Count an answer."""
        window = self._window(service, now)
        if now >= window.ends_at:
            window.advance(now)
        window.n_answered += 1

    def is_shedding(self, service: str, now: float) -> bool:
        """Tell whether a service sheds too much load to get retries."""
        window = self.windows_.get(service)
        if window is None:
            return False
        window.advance(now)
        n_shed = window.n_shed + window.previous_n_shed
        if n_shed < N_SHED_MIN:
            return False
        n_answered = window.n_answered + window.previous_n_answered
        return n_shed > SHED_FRACTION_MAX * (n_shed + n_answered)

    def prune(self, known: dict) -> None:
        """Remove services that are not in `known`, the services of the accepted set."""
        for name in [n for n in self.windows_ if n not in known]:
            del self.windows_[name]

    def _window(self, service: str, now: float) -> _ShedCounts:
        window = self.windows_.get(service)
        if window is None:
            window = self.windows_[service] = _ShedCounts(now + WINDOW_S)
        return window
