"""This host's share of the request rate that a replica takes from all hosts.

It answers the load of a replica in need, which states a limit for the whole fleet.
`LimitShares` tells how large the share of this host is. Time slots at random phases
carry it: unlike a bucket that fills up, they do not let all hosts send at once after an
idle time.
"""

import math
import random

import msgspec

# Lower bound of a limit. Only an answer tells a host that the limit has ended.
LIMIT_MIN_PER_S = 0.5
# An unused slot stays usable for this time. In 4 s of contract time the fleet then
# sends at most what the limit allows in 5.5 s, below the tolerated 6 s.
SLOT_KEPT_S = 1.5


class RateShare(msgspec.Struct, eq=False):
    """Limit of one replica, and the start of this host's earliest unused slot."""

    limit_per_s: float  # for all hosts together
    stated_at: float  # sending time of the attempt whose answer stated it
    next_slot_at: float

    def period_s(self, n_hosts: float) -> float:
        """Return the time between two slots of a host with one of `n_hosts` shares."""
        return n_hosts / max(self.limit_per_s, LIMIT_MIN_PER_S)

    def available_at(self, n_hosts: float, now: float) -> float:
        """Return when the next attempt may be sent, at most `now` if it may be now."""
        period_s = self.period_s(n_hosts)
        # The period may have become shorter since the slot was set.
        slot_at = min(self.next_slot_at, now + period_s)
        oldest_usable = now - SLOT_KEPT_S
        if slot_at < oldest_usable:
            slot_at += math.ceil((oldest_usable - slot_at) / period_s) * period_s
        return slot_at

    def take(self, n_hosts: float, now: float) -> None:
        """Use the slot that `available_at` returned."""
        self.next_slot_at = self.available_at(n_hosts, now) + self.period_s(n_hosts)


def update_share(
    share: RateShare | None,
    limit_per_s: float | None,
    sent_at: float,
    n_hosts: float,
    now: float,
    rng: random.Random,
) -> RateShare | None:
    """Return the share after an answer that states a limit, or none.

    An answer to an attempt sent before the limit was stated does not end the limit.
    """
    if share is None:
        if limit_per_s is None:
            return None
        share = RateShare(limit_per_s, sent_at, now)
        share.next_slot_at += rng.random() * share.period_s(n_hosts)
        return share
    if sent_at < share.stated_at:
        return share
    if limit_per_s is None:
        return None
    share.limit_per_s = limit_per_s
    share.stated_at = sent_at
    return share
