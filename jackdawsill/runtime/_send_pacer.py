"""Rate limit on the bytes of large messages to other hosts."""

import math

# Largest burst, as the time that it occupies the link at the limited rate. Requests
# that share the link wait at most about this long.
BURST_S = 0.01
# Least burst in bytes, about one packet, so that slow links send at all.
BURST_BYTES_MIN = 1500


class SendPacer:
    """Token bucket of bytes; with an infinite rate it limits nothing.

    `bytes_per_s` may be changed at any time.
    """

    __slots__ = ("available_", "bytes_per_s", "updated_at_")

    def __init__(self, bytes_per_s: float = math.inf) -> None:
        self.bytes_per_s = bytes_per_s
        self.available_ = 0.0
        self.updated_at_: float | None = None

    @property
    def burst_bytes(self) -> float:
        """Return the most bytes that may be sent at once."""
        return max(BURST_BYTES_MIN, BURST_S * self.bytes_per_s)

    def allowed(self, n_bytes: int, now: float) -> int:
        """Return how many of `n_bytes` may be sent now."""
        if math.isinf(self.bytes_per_s):
            return n_bytes
        elapsed_s = math.inf if self.updated_at_ is None else now - self.updated_at_
        self.updated_at_ = now
        self.available_ = min(
            self.burst_bytes, self.available_ + elapsed_s * self.bytes_per_s
        )
        return max(0, min(n_bytes, int(self.available_)))

    def spend(self, n_bytes: int) -> None:
        """Count bytes that are sent now."""
        if not math.isinf(self.bytes_per_s):
            self.available_ -= n_bytes

    def delay_s(self) -> float:
        """Return the time until a whole burst is allowed."""
        return max(0.0, (self.burst_bytes - self.available_) / self.bytes_per_s)
