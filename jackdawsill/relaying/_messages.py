"""Messages that relay updates of the platform's store.

In `routes`, None means that the configuration is unchanged or not known. `era` belongs
to `revision` (and `base`); hosts of builds that do not know of eras do not state it.
"""

from jackdawsill.forwarding import DelegateHost, Demand, ReplicaEntry, StorePosition
from jackdawsill.peers import PeerMessage, register_message
from jackdawsill.relaying._route_codec import PackedRoutes


class PositionedMessage(PeerMessage, kw_only=True):
    """Message that states a position of the store."""

    era: int | None = None

    @property
    def position(self) -> StorePosition:
        """Return the position; one without era is before all others."""
        return StorePosition(self.era or 0, self.revision)


@register_message("NewsWanted")
class NewsWanted(PositionedMessage):
    """Subscribes to a host's updates; the sender has the state of these versions.

    Sent again to request a snapshot after a missed change, and when `offer` changes.
    """

    version: int  # of the configuration
    revision: int  # of the store
    is_relay: bool = False  # by the sender's settings
    offer: DelegateHost | None = None  # the sender as a delegate


@register_message("NewsSnapshot")
class NewsSnapshot(PositionedMessage):
    """All routes and replicas of the sender, which were current `age_s` seconds ago.

    `lapsed` are the names of replicas that the store lacks, and that the sender keeps
    for a while since they may register again.
    """

    routes: PackedRoutes | None
    entries: tuple[ReplicaEntry, ...]
    revision: int
    age_s: float
    lapsed: tuple[str, ...] = ()


@register_message("NewsChange")
class NewsChange(PositionedMessage):
    """Changes after revision `base` up to `revision`.

    With `may_lapse`, entries may have been removed only because they expired while the
    store was unreachable.
    """

    routes: PackedRoutes | None
    written: tuple[ReplicaEntry, ...]
    removed: tuple[str, ...]
    base: int
    revision: int
    age_s: float
    may_lapse: bool

    @property
    def base_position(self) -> StorePosition:
        """Return the position that the change follows."""
        return StorePosition(self.era or 0, self.base)


@register_message("NewsBeat")
class NewsBeat(PositionedMessage):
    """Heartbeat: the state was that of `revision` and current `age_s` seconds ago."""

    revision: int
    age_s: float
    n_subscribers: int = 0  # of the sender, without relays
    n_hosts: int = 0  # of the fleet, 0 if unknown to the sender
    version: int = 0  # of the configuration, 0 if the sender has none
    digest: int | None = None  # of the entries of replicas; None if not stated


@register_message("NewsHelpers")
class NewsHelpers(PeerMessage):
    """The delegates known to the sender."""

    helpers: tuple[DelegateHost, ...]


@register_message("LimitDemand")
class LimitDemand(PeerMessage):
    """Demand of the sender for services with limited replicas.

    From a relay to another one it is that of the relay and its subscribers.
    """

    demands: dict[str, Demand]


@register_message("LimitDemandTotal")
class LimitDemandTotal(PeerMessage):
    """Demand of the fleet for services with limited replicas, from a relay."""

    demands: dict[str, Demand]


@register_message("ReplicaLimit")
class ReplicaLimit(PeerMessage):
    """The limit that a replica stated `age_s` seconds ago; None if it ended."""

    replica: str
    incarnation: str
    limit_per_s: float | None
    age_s: float


@register_message("ReplicaLeaving")
class ReplicaLeaving(PeerMessage):
    """Reports that a process of a replica has said that it leaves."""

    replica: str
    incarnation: str


@register_message("CrashNotice")
class CrashNotice(PeerMessage):
    """Reports that a replica crashed while it ran a request.

    Hosts of older builds do not state whether the crash followed on another one.
    """

    fingerprint: int
    request_id: str
    replica: str
    incarnation: str | None = None
    is_repeat: bool | None = None
    age_s: float = 0.0  # since the sender recorded it
