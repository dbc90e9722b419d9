"""Messages about replicas."""

from jackdawsill.peers import PeerMessage, register_message


@register_message("LeavingNotice")
class LeavingNotice(PeerMessage):
    """A replica is leaving; `start_id` names the stop that was observed.

    `ttl_s` counts from the receipt, because hosts share no clock.
    """

    replica: str
    start_id: str
    ttl_s: float
