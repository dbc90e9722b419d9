"""Rate limit on the lines of each log event."""

# Sustained rate of lines of one log event; at the peak load a host writes a tenth.
LINES_PER_S = 200.0
# Size of the token bucket: lines that one event may write in a burst.
BURST_LINES = 400.0


class LogRateLimiter:
    """Token bucket for each event number; counts the lines that it suppresses."""

    __slots__ = ("buckets_", "suppressed_")

    def __init__(self) -> None:
        # Event number -> (available lines, monotonic time of the last refill).
        self.buckets_: dict[int, tuple[float, float]] = {}
        self.suppressed_: dict[int, int] = {}

    def try_acquire(self, number: int, now: float) -> bool:
        """Return whether a line may be written; if not, count it as suppressed."""
        available, updated_at = self.buckets_.get(number, (BURST_LINES, now))
        available = min(BURST_LINES, available + LINES_PER_S * (now - updated_at))
        if available < 1.0:
            self.buckets_[number] = (available, now)
            self.suppressed_[number] = self.suppressed_.get(number, 0) + 1
            return False
        self.buckets_[number] = (available - 1.0, now)
        return True

    def take_suppressed(self) -> dict[int, int]:
        """Return and reset the number of suppressed lines, by event number."""
        suppressed, self.suppressed_ = self.suppressed_, {}
        return suppressed
