"""Whom a host learns from: the store itself, or a host that follows it."""

from enum import StrEnum

from jackdawsill.forwarding import DelegateHost

# A host sends a sign of life to its subscribers this often.
BEAT_S = 0.4
# News older than this is not relied on. The hosts that follow the store confirm it
# each second, so only a lost host or a lost store makes news older.
STALE_S = 1.6
# Without current news for this time a host follows the store itself. With the time
# of the read it stays below the 3 s in which changes must be in force.
DIRECT_AFTER_S = 2.0
# On the first start of a fleet all hosts start together, and it is worth waiting for
# the relays; otherwise a host that knows nothing asks the store soon.
FIRST_START_PATIENCE_S = 3.0
START_PATIENCE_S = 0.1
# A relay looks this often whether it is linked to the other relays.
MEET_S = 1.0
# A host that follows the store itself goes back to relayed news after this time.
DIRECT_MIN_S = 3.0
# A relay that was silent or had old news is not tried again for this time.
AVOID_S = 5.0
# Time that one relay is given to open a link and send its first message.
OPEN_LIMIT_S = 0.6


class UpstreamState(StrEnum):
    """Name the states of the link to a relay."""

    NONE = "none"
    OPENING = "opening"
    ASKED = "asked"  # open, and nothing read yet
    SYNCED = "synced"


class UpdateFeed:
    """Own the choice of the source, and the subscribers of this host."""

    __slots__ = (
        "address",
        "avoided_",
        "awaits_snapshot_",
        "confirmed_at_",
        "counts_",
        "direct_since_",
        "has_offered_",
        "is_direct_",
        "is_first_start",
        "link_id_",
        "met_at_",
        "offers_",
        "opened_at_",
        "opening_",
        "partners_",
        "relay_",
        "relay_subscribers_",
        "seeds",
        "sent_beat_at_",
        "started_at_",
        "subscribers_",
        "upstream_",
    )

    def __init__(
        self, address: str, seeds: tuple[str, ...], *, is_first_start: bool
    ) -> None:
        self.address = address
        self.seeds = seeds
        self.is_first_start = is_first_start
        self.started_at_: float | None = None
        # Time up to which routes and replicas are known to be current.
        self.confirmed_at_: float | None = None
        self.is_direct_ = False
        self.direct_since_ = 0.0
        self.upstream_ = UpstreamState.NONE
        self.link_id_ = 0
        self.relay_ = ""  # address of the relay in use
        self.opened_at_ = 0.0
        # A change was missed on the link in use; its sender was asked for all it knows.
        self.awaits_snapshot_ = False
        self.met_at_ = 0.0
        self.opening_: dict[int, str] = {}  # link -> address
        self.avoided_: dict[str, float] = {}  # address -> end
        self.sent_beat_at_ = 0.0
        self.subscribers_: set[int] = set()
        self.relay_subscribers_: set[int] = set()  # a part of `subscribers_`
        # Links of a relay to the other relays: link -> address.
        self.partners_: dict[int, str] = {}
        self.counts_: dict[str, int] = {}  # address of a relay -> its subscribers
        # Link -> helpers that its host offers, or that a partner told of.
        self.offers_: dict[int, tuple[DelegateHost, ...]] = {}
        self.has_offered_ = False

    @property
    def is_relay(self) -> bool:
        """Tell whether other hosts are told to learn from this one."""
        return self.address in self.seeds

    def age_s(self, now: float) -> float:
        """Return the age of what the host knows."""
        if self.confirmed_at_ is not None:
            return now - self.confirmed_at_
        return float("inf")

    def confirm(self, at: float) -> None:
        """Note that routes and replicas were current at a time."""
        if self.confirmed_at_ is None or at > self.confirmed_at_:
            self.confirmed_at_ = at

    def must_follow_store(self, now: float) -> bool:
        """Tell whether the host should follow the store itself."""
        others = [seed for seed in self.seeds if seed != self.address]
        if self.is_relay or not others:
            return True
        if self.confirmed_at_ is None:
            patience_s = START_PATIENCE_S
            if self.is_first_start:
                patience_s = FIRST_START_PATIENCE_S
            return now - (self.started_at_ or now) > patience_s
        if self.age_s(now) > DIRECT_AFTER_S:
            return True
        is_new = now - self.direct_since_ < DIRECT_MIN_S
        return self.is_direct_ and (
            is_new or self.upstream_ is not UpstreamState.SYNCED
        )

    def wants_upstream(self) -> bool:
        """Tell whether the host should learn from a relay."""
        return not self.is_relay

    @property
    def n_own(self) -> int:
        """Return the number of hosts that learn from this one."""
        return len(self.subscribers_) - len(self.relay_subscribers_)

    def n_hosts(self) -> int:
        """Return the size of the fleet as this relay sees it, or 0."""
        others = [seed for seed in self.seeds if seed != self.address]
        if not self.is_relay or any(seed not in self.counts_ for seed in others):
            return 0
        return len(self.seeds) + self.n_own + sum(self.counts_[s] for s in others)

    def candidates(self, now: float) -> list[str]:
        """Return the relays to try; those that failed lately only if all have."""
        others = [seed for seed in self.seeds if seed != self.address]
        fresh = [seed for seed in others if now >= self.avoided_.get(seed, 0.0)]
        return fresh or others

    def leave(self, now: float, address: str | None = None) -> list[int]:
        """Give up the link or the attempts to open one; return the links to close."""
        if address is not None:
            self.avoided_[address] = now + AVOID_S
        links = list(self.opening_)
        if self.link_id_:
            links.append(self.link_id_)
        self.opening_.clear()
        self.link_id_ = 0
        self.upstream_ = UpstreamState.NONE
        self.awaits_snapshot_ = False
        return links
