"""Outgoing records and reports, batched per tick and link."""

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from jackdawsill.core import SendPeer
from jackdawsill.peers import PeerMessage

T = TypeVar("T")

# A dead host is reported by many hosts at once, and a lost region by hundreds. This
# limit distributes such bursts over several ticks.
MAX_ITEMS_PER_TICK = 24


class Outbox(Generic[T]):
    """Items to disseminate, queued until the next tick.

    For each item the outbox keeps the links whose peers already have it. While an item
    waits for the tick, copies of it arrive from peers; not sending it back to them
    about halves the bytes of its dissemination.
    """

    __slots__ = ("queued_",)

    def __init__(self) -> None:
        self.queued_: dict[T, set[int]] = {}

    def put(self, item: T, source: int) -> None:
        """Queue an item that came from link `source`; 0 stands for this host."""
        self.queued_.setdefault(item, set()).add(source)

    def record_known(self, item: T, source: int) -> None:
        """Record that the peer on link `source` has an item, if it is still queued."""
        if item in self.queued_:
            self.queued_[item].add(source)

    def flush(
        self,
        link_ids: Iterable[int],
        make: Callable[[tuple[T, ...]], PeerMessage],
    ) -> list[SendPeer]:
        """Remove the oldest items and send them on the links that do not have them.

        `make` builds the message for a tuple of items.
        """
        if not self.queued_:
            return []
        batch = [
            (item, self.queued_.pop(item))
            for item in list(self.queued_)[:MAX_ITEMS_PER_TICK]
        ]
        messages: dict[tuple[T, ...], PeerMessage] = {}
        effects = []
        for link_id in link_ids:
            items = tuple(item for item, known in batch if link_id not in known)
            if not items:
                continue
            # Links with the same items share one message, which is then encoded once.
            message = messages.get(items)
            if message is None:
                message = messages[items] = make(items)
            effects.append(SendPeer(link_id, message))
        return effects
