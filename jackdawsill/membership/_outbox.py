"""News that a host passes on, batched for each link."""

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from jackdawsill.core import SendPeer
from jackdawsill.peers import PeerMessage

T = TypeVar("T")

# A dead host is told by many reporters at once and a lost region by hundreds;
# the bound spreads such a burst over several ticks.
MAX_ITEMS_PER_TICK = 24


class Outbox(Generic[T]):
    """Hold items until the next tick, and which links have them already.

    Waiting for the tick lets the copies of neighbours arrive first; not returning
    items to them about halves the bytes of a flood.
    """

    __slots__ = ("queued_",)

    def __init__(self) -> None:
        self.queued_: dict[T, set[int]] = {}

    def put(self, item: T, source: int) -> None:
        """Queue an item that came from a link, or from this host with 0."""
        self.queued_.setdefault(item, set()).add(source)

    def mark(self, item: T, source: int) -> None:
        """Record that the peer of a link has an item that may still be queued."""
        if item in self.queued_:
            self.queued_[item].add(source)

    def flush(
        self,
        link_ids: Iterable[int],
        make: Callable[[tuple[T, ...]], PeerMessage],
    ) -> list[SendPeer]:
        """Return the effects that send the oldest items to the links without them."""
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
            # Links that get the same items share a message, which is encoded once.
            message = messages.get(items)
            if message is None:
                message = messages[items] = make(items)
            effects.append(SendPeer(link_id, message))
        return effects
