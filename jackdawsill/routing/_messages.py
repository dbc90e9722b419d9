"""Messages about replicas."""

from jackdawsill.peers import PeerMessage, register_message


@register_message("LeavingNotice")
class LeavingNotice(PeerMessage):
    """A replica is leaving; `start_id` is unique to the first observation of its stop.

    `ttl_s` counts from the receipt of the notice, because hosts share no clock.
    """

    replica: str
    start_id: str
    ttl_s: float
