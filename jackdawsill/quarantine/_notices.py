"""Rate-limited queue of outgoing notices."""

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")

MAX_PER_MESSAGE = 64


class NoticeQueue(Generic[T]):
    """Token bucket over a queue; the oldest items are dropped when it is full.

    The rate limit keeps the notices below 14 KB/s, the budget of control traffic, after
    the loss of a failure domain: every host then suspects all requests that it had in
    flight there.
    """

    __slots__ = ("burst", "items_", "max_items", "rate_per_s", "tokens_", "updated_at_")

    def __init__(self, rate_per_s: float, burst: float, max_items: int) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.max_items = max_items
        self.items_: deque[T] = deque()
        self.tokens_ = burst
        self.updated_at_: float | None = None

    def enqueue(self, item: T) -> None:
        """Append an item; drop the oldest one if the queue is full."""
        if len(self.items_) >= self.max_items:
            self.items_.popleft()
        self.items_.append(item)

    def dequeue(self, now: float) -> list[T]:
        """Remove and return the items that may be sent now."""
        if self.updated_at_ is not None:
            earned = (now - self.updated_at_) * self.rate_per_s
            self.tokens_ = min(self.burst, self.tokens_ + earned)
        self.updated_at_ = now
        n_sent = min(len(self.items_), int(self.tokens_), MAX_PER_MESSAGE)
        self.tokens_ -= n_sent
        return [self.items_.popleft() for _ in range(n_sent)]
