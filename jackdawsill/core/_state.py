"""State of one host: one object for each decision part."""

import itertools
import random
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from jackdawsill.objects import ObjectSet

P = TypeVar("P")


class HostState:
    """Hold the parts of a host; each part owns its own state.

    Parts are looked up by their class, so that `core` imports none of them.
    """

    __slots__ = (
        "components_",
        "failure_domain",
        "ids_",
        "last_event_at_",
        "name",
        "objects_",
        "ready_",
        "rng",
    )

    def __init__(self, name: str, failure_domain: str, rng: random.Random) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.rng = rng
        self.last_event_at_: float | None = None
        self.objects_: ObjectSet | None = None  # written by `spread` only
        self.ready_ = False  # written by `stopping` only
        self.components_: dict[type, Any] = {}
        self.ids_: Iterator[int] = itertools.count(1)

    def attach(self, component: Any) -> None:
        """Add a part; there is one part for each class."""
        self.components_[type(component)] = component

    def component(self, part_type: type[P]) -> P:
        """Return the attached part of the given class."""
        return self.components_[part_type]

    def next_id(self) -> int:
        """Return a number that this process has not used for an id before."""
        return next(self.ids_)
