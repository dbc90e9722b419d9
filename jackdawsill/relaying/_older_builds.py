"""Hosts of builds that do not know eras of the store, beside which this one runs.

Such a host orders updates by revision alone. It ignores what follows the store's return
from a copy, until the revision that it had is passed.
"""

import msgspec

from jackdawsill.core import CloseLink, Effect, HostState, LogEvent
from jackdawsill.forwarding import ReplicaRegistry
from jackdawsill.relaying import _log_events as log_events
from jackdawsill.relaying._feed import UpdateFeed
from jackdawsill.relaying._messages import NewsWanted, PositionedMessage
from jackdawsill.relaying._updates import UNKNOWN_AGE_S, apply_update

# A relay of an older build is not tried again for this time; an update of the fleet
# restarts it within some minutes.
OLDER_BUILD_BACKOFF_S = 10.0


def is_refused(state: HostState, request: NewsWanted) -> bool:
    """Return whether a subscriber would ignore the updates of this host."""
    known = state.component(ReplicaRegistry).known_position
    return request.era is None and request.revision > known.revision


def apply_undated_update(
    state: HostState, link_id: int, message: PositionedMessage, now: float
) -> list[Effect]:
    """Apply an update without era as one of unknown age, and give up its relay.

    Its routes are taken if they are newer, its replicas if none are known.
    """
    feed = state.component(UpdateFeed)
    address = feed.relay_address_ if link_id == feed.relay_link_id_ else None
    undated = msgspec.structs.replace(message, age_s=UNKNOWN_AGE_S)
    effects = apply_update(state, link_id, undated, now)
    if address is None:
        return effects
    feed.older_builds_until_[address] = now + OLDER_BUILD_BACKOFF_S
    fields = {
        "address": address,
        "state": "older build",
        "age_s": round(now - feed.connecting_since_, 2),
    }
    effects += map(CloseLink, feed.disconnect_relay(now, address))
    return [*effects, LogEvent(log_events.RELAY_LEFT, fields)]


def close_older_subscribers(state: HostState) -> list[Effect]:
    """Close the links of subscribers that may ignore a complete list.

    They subscribe again with the revision that they have, or follow the store.
    """
    feed = state.component(UpdateFeed)
    links = feed.older_subscribers_ & feed.subscribers_
    feed.subscribers_ -= links
    return list(map(CloseLink, sorted(links)))
