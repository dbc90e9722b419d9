"""Bound on the lines that one kind of log event may take."""

# Lines of one event number in a second; a host at the users' peak writes a tenth.
LINES_PER_S = 200.0
# Lines saved up while there were few.
BURST_LINES = 400.0


class LogRateLimiter:
    """Let through a bounded number of lines of each event, and count the rest."""

    __slots__ = ("left_", "suppressed_")

    def __init__(self) -> None:
        self.left_: dict[int, tuple[float, float]] = {}  # number -> (lines left, time)
        self.suppressed_: dict[int, int] = {}

    def allows(self, number: int, now: float) -> bool:
        """Take one line from the bound; return whether it was there."""
        left, at = self.left_.get(number, (BURST_LINES, now))
        left = min(BURST_LINES, left + LINES_PER_S * (now - at))
        if left < 1.0:
            self.left_[number] = (left, now)
            self.suppressed_[number] = self.suppressed_.get(number, 0) + 1
            return False
        self.left_[number] = (left - 1.0, now)
        return True

    def take_suppressed(self) -> dict[int, int]:
        """Return the lines left out since the last call, by event number."""
        suppressed, self.suppressed_ = self.suppressed_, {}
        return suppressed
