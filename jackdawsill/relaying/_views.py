"""Status of the relaying for operators."""

from typing import Any

from jackdawsill.core import HostState, status_section
from jackdawsill.relaying._feed import UpdateFeed


@status_section("news")
def view_news(state: HostState, now: float) -> dict[str, Any]:
    """Return from whom the host learns, and the age of what it knows."""
    feed = state.components_.get(UpdateFeed)
    if feed is None:
        return {}
    age_s = feed.age_s(now)
    return {
        "is_relay": feed.is_relay,
        "follows_store": feed.is_direct_,
        "relay": feed.relay_ if feed.link_id_ else None,
        "state": str(feed.upstream_),
        "age_s": None if age_s == float("inf") else round(age_s, 2),
        "subscribers": feed.n_own,
    }
