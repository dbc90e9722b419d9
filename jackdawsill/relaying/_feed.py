"""Choice of where a host gets updates: from the store itself or from a relay."""

from enum import StrEnum

from jackdawsill.forwarding import DelegateHost, RouteSet, StorePosition
from jackdawsill.relaying._messages import NewsSnapshot
from jackdawsill.relaying._route_codec import PackedRoutes, pack_routes

# Interval between heartbeats to subscribers.
HEARTBEAT_INTERVAL_S = 0.4
# A state older than this counts as outdated, and the host switches to another relay or
# to the store. Hosts that follow the store confirm their state each second, so it gets
# older only if a relay or the store is unreachable.
STALE_S = 1.6
# A host whose state has not been current for this time follows the store itself.
# Changes must reach every host within 3 s, which includes the read of the store.
FOLLOW_STORE_AFTER_S = 2.0
# Time that a host without any state waits for a relay before it follows the store: at
# the first start of a fleet, when the relays are starting as well, and at other starts.
FIRST_START_WAIT_S = 3.0
START_WAIT_S = 0.1
# Interval at which a relay checks its links to the other relays.
RELAY_CONNECT_INTERVAL_S = 1.0
# Time for which a started host waits for current state before it uses old state of a
# relay. In it, the store answers many times, even if it is slow, and links to the other
# relays open.
STALE_START_WAIT_S = 0.5
# Minimum time that a host follows the store itself before it returns to a relay.
FOLLOW_STORE_MIN_S = 3.0
# A relay that was silent or had old updates is not tried again for this time.
RELAY_BACKOFF_S = 5.0
# Time for opening a link to a relay and for its first message.
OPEN_TIMEOUT_S = 0.6

# A relay that has not been reached for this time after the start of this one is down;
# its subscribers are those of other relays.
UNREACHED_S = 15.0


class UpstreamState(StrEnum):
    """State of the link to the relay in use."""

    NONE = "none"
    OPENING = "opening"
    ASKED = "asked"  # open and subscribed, no current update received yet
    SYNCED = "synced"


class UpdateFeed:
    """Where this host gets updates, and the hosts that subscribe to it.

    `address` is this host's own address and `seeds` are the addresses of the relays.
    """

    __slots__ = (
        "address",
        "asked_peers_",
        "awaits_snapshot_",
        "backoff_until_",
        "confirmed_at_",
        "connecting_since_",
        "delegates_sent_",
        "follow_changed_at_",
        "follows_store_",
        "has_reported_",
        "heartbeat_sent_at_",
        "is_first_start",
        "narrow_",
        "narrow_chosen_at_",
        "older_builds_until_",
        "older_subscribers_",
        "opening_",
        "packed_routes_",
        "peer_heard_at_",
        "peer_relays_",
        "relay_address_",
        "relay_link_id_",
        "relay_state_",
        "relay_subscribers_",
        "relays_checked_at_",
        "reported_delegates_",
        "routes_",
        "seeds",
        "snapshot_requested_at_",
        "stale_snapshot_",
        "started_at_",
        "subscriber_counts_",
        "subscribers_",
    )

    def __init__(
        self, address: str, seeds: tuple[str, ...], *, is_first_start: bool
    ) -> None:
        self.address = address
        self.seeds = seeds
        self.is_first_start = is_first_start
        self.started_at_: float | None = None
        # Latest time at which routes and replicas are known to have been current.
        self.confirmed_at_: float | None = None
        self.follows_store_ = False
        self.follow_changed_at_ = 0.0
        self.relay_state_ = UpstreamState.NONE
        self.relay_link_id_ = 0
        self.relay_address_ = ""  # relay in use
        self.connecting_since_ = 0.0
        # A change was missed on the link in use, and a snapshot was requested.
        self.awaits_snapshot_ = False
        # Position for which a snapshot was requested because the replicas differ.
        self.snapshot_requested_at_: StorePosition | None = None
        # Newest old state that was received while this host has no state.
        self.stale_snapshot_: NewsSnapshot | None = None
        self.relays_checked_at_ = 0.0
        self.opening_: dict[int, str] = {}  # link -> address
        self.backoff_until_: dict[str, float] = {}  # address of a relay -> end
        self.heartbeat_sent_at_ = 0.0
        self.subscribers_: set[int] = set()
        self.relay_subscribers_: set[int] = set()  # subset of `subscribers_`
        self.older_subscribers_: set[int] = set()  # subset: they state no era
        # Address of a relay that states no era -> end of the time without it.
        self.older_builds_until_: dict[str, float] = {}
        # Only at a relay: link -> address of the other relay.
        self.peer_relays_: dict[int, str] = {}
        # Open links of `peer_relays_` -> when something last arrived; those that have
        # been asked for an answer since.
        self.peer_heard_at_: dict[int, float] = {}
        self.asked_peers_: set[int] = set()
        # Address of another relay -> number of its subscribers that are not relays.
        self.subscriber_counts_: dict[str, int] = {}
        # Link -> delegates reported by its host: itself, and by a relay also others.
        self.reported_delegates_: dict[int, tuple[DelegateHost, ...]] = {}
        self.has_reported_ = False
        # Subscribers with narrow links that this relay passes on as delegates.
        self.narrow_: set[DelegateHost] = set()
        self.narrow_chosen_at_ = 0.0
        # Delegates last sent to relays and to other hosts.
        self.delegates_sent_: tuple[set[DelegateHost], set[DelegateHost]] = set(), set()
        # Last configuration that was broadcast, and its complete packed form.
        self.routes_: RouteSet | None = None
        self.packed_routes_: PackedRoutes | None = None

    @property
    def is_relay(self) -> bool:
        """Return whether this host is one of the relays in the settings."""
        return self.address in self.seeds

    def age_s(self, now: float) -> float:
        """Return the age of the known routes and replicas in s, or infinity."""
        if self.confirmed_at_ is not None:
            return now - self.confirmed_at_
        return float("inf")

    def confirm(self, at: float) -> None:
        """Record that routes and replicas were current at a time."""
        if self.confirmed_at_ is None or at > self.confirmed_at_:
            self.confirmed_at_ = at

    def pack_all(self, routes: RouteSet | None) -> PackedRoutes | None:
        """Return all routes packed; the result is kept for the next subscriber."""
        if routes is None:
            return None
        packed = self.packed_routes_
        if packed is None or packed.version != routes.version:
            packed = self.packed_routes_ = pack_routes(None, routes)
        return packed

    def waits_for_current_state(self, now: float) -> bool:
        """Return whether a started host should not use old state of a relay yet."""
        return now < (self.started_at_ or now) + STALE_START_WAIT_S

    def keep_stale(self, snapshot: NewsSnapshot) -> None:
        """Keep old state for the case that there is no other."""
        kept = self.stale_snapshot_
        if kept is None or snapshot.position > kept.position:
            self.stale_snapshot_ = snapshot

    def must_follow_store(self, now: float) -> bool:
        """Return whether the host should follow the store itself.

        A relay always does. Other hosts do while their state is too old, and then for
        at least `FOLLOW_STORE_MIN_S` and until a relay is synced.
        """
        others = [seed for seed in self.seeds if seed != self.address]
        if self.is_relay or not others:
            return True
        if self.confirmed_at_ is None:
            wait_s = START_WAIT_S
            if self.is_first_start:
                wait_s = FIRST_START_WAIT_S
            return now - (self.started_at_ or now) > wait_s
        if self.age_s(now) > FOLLOW_STORE_AFTER_S:
            return True
        has_just_switched = now - self.follow_changed_at_ < FOLLOW_STORE_MIN_S
        return self.follows_store_ and (
            has_just_switched or self.relay_state_ is not UpstreamState.SYNCED
        )

    def links(self) -> list[int]:
        """Return the links to all hosts that exchange updates with this one."""
        links = {*self.subscribers_, *self.peer_relays_}
        if self.relay_link_id_:
            links.add(self.relay_link_id_)
        return sorted(links)

    def needs_relay(self) -> bool:
        """Return whether the host should subscribe to a relay."""
        return not self.is_relay

    @property
    def n_subscribers(self) -> int:
        """Return the number of subscribers that are not relays."""
        return len(self.subscribers_) - len(self.relay_subscribers_)

    def fleet_size(self, now: float) -> int:
        """Return the number of hosts, or 0 if this relay lacks a peer's count.

        A relay that has never sent its count counts as one without subscribers after
        `UNREACHED_S`; one that did send it keeps its last count.
        """
        counts = self.subscriber_counts_
        others = [seed for seed in self.seeds if seed != self.address]
        may_be_starting = now - (self.started_at_ or now) < UNREACHED_S
        if not self.is_relay or (
            may_be_starting and any(seed not in counts for seed in others)
        ):
            return 0
        n_elsewhere = sum(counts.get(seed, 0) for seed in others)
        return len(self.seeds) + self.n_subscribers + n_elsewhere

    def relay_candidates(self, now: float) -> list[str]:
        """Return the other relays not in backoff, or all if all are in backoff.

        Relays of older builds are left out.
        """
        others = [
            seed
            for seed in self.seeds
            if seed != self.address and now >= self.older_builds_until_.get(seed, 0.0)
        ]
        fresh = [seed for seed in others if now >= self.backoff_until_.get(seed, 0.0)]
        return fresh or others

    def forget_peer(self, link_id: int) -> str | None:
        """Remove a link to another relay; return the address of the relay."""
        self.peer_heard_at_.pop(link_id, None)
        self.asked_peers_.discard(link_id)
        return self.peer_relays_.pop(link_id, None)

    def disconnect_relay(
        self, now: float, backoff_address: str | None = None
    ) -> list[int]:
        """Reset the state of the link to the relay; return the links to close.

        With `backoff_address`, that relay is not tried again for a while.
        """
        if backoff_address is not None:
            self.backoff_until_[backoff_address] = now + RELAY_BACKOFF_S
        links = list(self.opening_)
        if self.relay_link_id_:
            links.append(self.relay_link_id_)
        self.opening_.clear()
        self.relay_link_id_ = 0
        self.relay_state_ = UpstreamState.NONE
        self.awaits_snapshot_ = False
        return links
