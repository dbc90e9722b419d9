"""Messages about servable snapshots."""

from jackdawsill.peers import PeerMessage, register_message


@register_message("ServableNotice")
class ServableNotice(PeerMessage):
    """The sender answers queries of a group from this snapshot."""

    group: str
    snapshot: str
    version: int
