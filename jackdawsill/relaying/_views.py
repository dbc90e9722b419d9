"""Status section about the updates of this host."""

from typing import Any

from jackdawsill.core import HostState, status_section
from jackdawsill.relaying._feed import UpdateFeed


@status_section("news")
def view_news(state: HostState, now: float) -> dict[str, Any]:
    """Return where the host gets updates, the age of its state, and its subscribers."""
    feed = state.components_.get(UpdateFeed)
    if feed is None:
        return {}
    age_s = feed.age_s(now)
    return {
        "is_relay": feed.is_relay,
        "follows_store": feed.follows_store_,
        "relay": feed.relay_address_ if feed.relay_link_id_ else None,
        "state": str(feed.relay_state_),
        "age_s": None if age_s == float("inf") else round(age_s, 2),
        "subscribers": feed.n_subscribers,
    }
