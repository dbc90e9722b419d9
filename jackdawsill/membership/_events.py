"""Events that membership raises for other components."""

from jackdawsill.core import Event


class PeerUp(Event):
    """The handshake on a link succeeded; `brief` links carry one exchange."""

    link_id: int
    incarnation: str
    brief: bool


class PeerDown(Event):
    """A link whose handshake had succeeded was closed."""

    link_id: int
    incarnation: str
