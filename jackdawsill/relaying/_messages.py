"""Messages that relay what the platform's store says."""

from jackdawsill.forwarding import DelegateHost, ReplicaEntry, RouteSet
from jackdawsill.peers import PeerMessage, register_message


@register_message("NewsWanted")
class NewsWanted(PeerMessage):
    """Subscribe to the news of a host; the sender knows up to `revision`."""

    version: int
    revision: int
    is_relay: bool = False  # the sender has subscribers of its own
    offer: DelegateHost | None = None  # to run fan-outs of other hosts


@register_message("NewsSnapshot")
class NewsSnapshot(PeerMessage):
    """All that the sender knows; it was current `age_s` seconds ago."""

    routes: RouteSet | None
    entries: tuple[ReplicaEntry, ...]
    revision: int
    age_s: float


@register_message("NewsChange")
class NewsChange(PeerMessage):
    """What has changed after `base` up to `revision`.

    With `may_lapse`, a removal may come from the store's absence alone.
    """

    routes: RouteSet | None
    written: tuple[ReplicaEntry, ...]
    removed: tuple[str, ...]
    base: int
    revision: int
    age_s: float
    may_lapse: bool


@register_message("NewsBeat")
class NewsBeat(PeerMessage):
    """Nothing has changed up to `revision`, as of `age_s` seconds ago."""

    revision: int
    age_s: float
    n_subscribers: int = 0
    n_hosts: int = 0  # of the fleet, 0 if the sender cannot tell


@register_message("NewsHelpers")
class NewsHelpers(PeerMessage):
    """The hosts that offer to run fan-outs of others, as the sender knows them."""

    helpers: tuple[DelegateHost, ...]


@register_message("CrashNotice")
class CrashNotice(PeerMessage):
    """A replica crashed while it ran a request."""

    fingerprint: int
    request_id: str
    replica: str
