"""Messages about replicas."""

from jackdawsill.peers import PeerMessage, register_message


@register_message("LeavingNotice")
class LeavingNotice(PeerMessage):
    """A replica is leaving.

    `start_id` identifies the broadcast: the host that first observes the stop creates
    it, and forwarded copies keep it. `ttl_s` counts from the receipt of the notice,
    because hosts share no clock.
    """

    replica: str
    start_id: str
    ttl_s: float
