"""Fraction of sub-requests that each service shed in the last second."""

from dataclasses import dataclass

# No retry goes to a service that shed more than this fraction.
SHED_FRACTION_MAX = 0.1
# Fewer shed sub-requests than this are no trend; the only sub-request of a quiet
# service would otherwise be a fraction of 1.
N_SHED_MIN = 3
# Half of the time over which the fraction is taken: the current and the previous
# window together cover between a half and one second.
WINDOW_S = 0.5


@dataclass(slots=True)
class _Window:
    """Counts of the current and the previous window."""

    ends_at: float
    n_shed: int = 0
    n_answered: int = 0
    shed_before: int = 0
    answered_before: int = 0

    def advance(self, now: float) -> None:
        """Start a new window when the current one has ended."""
        if now < self.ends_at:
            return
        is_recent = now < self.ends_at + WINDOW_S
        self.shed_before = self.n_shed if is_recent else 0
        self.answered_before = self.n_answered if is_recent else 0
        self.n_shed = self.n_answered = 0
        self.ends_at = now + WINDOW_S


class ShedWatch:
    """Tell which services shed load, so that retries do not add to it."""

    __slots__ = ("windows_",)

    def __init__(self) -> None:
        self.windows_: dict[str, _Window] = {}

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
        """Tell whether a service sheds too much for a retry."""
        window = self.windows_.get(service)
        if window is None:
            return False
        window.advance(now)
        n_shed = window.n_shed + window.shed_before
        if n_shed < N_SHED_MIN:
            return False
        n_answered = window.n_answered + window.answered_before
        return n_shed > SHED_FRACTION_MAX * (n_shed + n_answered)

    def prune(self, known: dict) -> None:
        """Forget services that the newest set does not contain."""
        for name in [n for n in self.windows_ if n not in known]:
            del self.windows_[name]

    def _window(self, service: str, now: float) -> _Window:
        window = self.windows_.get(service)
        if window is None:
            window = self.windows_[service] = _Window(now + WINDOW_S)
        return window
