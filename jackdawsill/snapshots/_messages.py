"""Messages about servable snapshots."""

from jackdawsill.peers import PeerMessage, register_message


@register_message("ServableNotice")
class ServableNotice(PeerMessage):
    """Newest snapshot of a group that enough replicas can serve."""

    group: str
    snapshot: str
    version: int
