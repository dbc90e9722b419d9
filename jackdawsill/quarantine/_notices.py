"""Outgoing notices at a bounded rate."""

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")

MAX_PER_MESSAGE = 64


class NoticeQueue(Generic[T]):
    """Pass items on at a mean rate; the oldest are dropped when it is full.

    The loss of a failure domain makes every host suspect everything that it had in
    flight there. The rate keeps this below the control budget of 14 KB/s.
    """

    __slots__ = ("burst", "items_", "max_items", "rate", "tokens_", "updated_at_")

    def __init__(self, rate: float, burst: float, max_items: int) -> None:
        self.rate = rate  # items per second
        self.burst = burst
        self.max_items = max_items
        self.items_: deque[T] = deque()
        self.tokens_ = burst
        self.updated_at_: float | None = None

    def put(self, item: T) -> None:
        """Queue an item."""
        if len(self.items_) >= self.max_items:
            self.items_.popleft()
        self.items_.append(item)

    def take(self, now: float) -> list[T]:
        """Return the items that may be sent now."""
        if self.updated_at_ is not None:
            earned = (now - self.updated_at_) * self.rate
            self.tokens_ = min(self.burst, self.tokens_ + earned)
        self.updated_at_ = now
        n_taken = min(len(self.items_), int(self.tokens_), MAX_PER_MESSAGE)
        self.tokens_ -= n_taken
        return [self.items_.popleft() for _ in range(n_taken)]
