"""State of one host, made of components."""

import itertools
import random
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from jackdawsill.objects import ObjectSet

C = TypeVar("C")


class HostState:
    """Hold the components of a host; each component owns its state.

    Components are looked up by their class, so that `core` does not import them.
    """

    __slots__ = (
        "components_",
        "failure_domain",
        "id_counter_",
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
        self.objects_: ObjectSet | None = None  # accepted set, written by `spread` only
        self.ready_ = False  # health check succeeds; written by `stopping` only
        self.components_: dict[type, Any] = {}
        self.id_counter_: Iterator[int] = itertools.count(1)

    def attach(self, component: Any) -> None:
        """Add a component, replacing an earlier one of the same class."""
        self.components_[type(component)] = component

    def component(self, component_type: type[C]) -> C:
        """Return the attached component of a class; raise `KeyError` without one."""
        return self.components_[component_type]

    def next_id(self) -> int:
        """Return an id that is unique in this process."""
        return next(self.id_counter_)
