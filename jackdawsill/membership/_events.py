"""Events that membership raises for other components."""

from dataclasses import dataclass

from jackdawsill.core import Event


@dataclass(slots=True, frozen=True)
class PeerUp(Event):
    """The handshake on a link succeeded; `brief` links carry one exchange."""

    link_id: int
    incarnation: str
    brief: bool


@dataclass(slots=True, frozen=True)
class PeerDown(Event):
    """A link whose handshake had succeeded was closed."""

    link_id: int
    incarnation: str
