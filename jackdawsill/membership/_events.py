"""Events that membership emits for other components."""

from jackdawsill.core import Event


class PeerUp(Event):
    """The handshake on a link succeeded; a `brief` link carries one exchange only."""

    link_id: int
    incarnation: str
    brief: bool


class PeerDown(Event):
    """A link was closed after its handshake had succeeded."""

    link_id: int
    incarnation: str
