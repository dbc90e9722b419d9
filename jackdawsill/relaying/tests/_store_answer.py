"""What a store has answered to a host of the in-memory fleet."""

from jackdawsill.forwarding import (
    ReplicasChanged,
    ReplicasListed,
    RoutesRead,
    StorePosition,
)


class Answer:
    """Answer of the store to a host that asked from a position, until it is read."""

    __slots__ = ("asked_from", "due_at", "position", "replicas", "routes")

    def __init__(
        self, due_at: float, asked_from: StorePosition | None, position: StorePosition
    ) -> None:
        self.due_at = due_at
        self.asked_from = asked_from
        self.position = position
        self.replicas: ReplicasListed | ReplicasChanged | None = None
        self.routes: RoutesRead | None = None
