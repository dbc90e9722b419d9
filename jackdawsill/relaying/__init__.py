"""Relaying of store updates: a few hosts, the relays, follow the store for all.

Updates are the routes and the registered replicas. The other hosts subscribe to one
relay, and follow the store themselves only if no relay has current updates. Names of
messages call updates "news".
"""

from jackdawsill.relaying import (  # noqa: F401
    _handlers,
    _leaving,
    _limit_statements,
    _views,
)
from jackdawsill.relaying._effects import FollowStore
from jackdawsill.relaying._feed import UpdateFeed, UpstreamState
from jackdawsill.relaying._limit_demands import DemandFeed
from jackdawsill.relaying._messages import (
    CrashNotice,
    LimitDemand,
    LimitDemandTotal,
    NewsBeat,
    NewsChange,
    NewsHelpers,
    NewsSnapshot,
    NewsWanted,
)

__all__ = [
    "CrashNotice",
    "DemandFeed",
    "FollowStore",
    "LimitDemand",
    "LimitDemandTotal",
    "NewsBeat",
    "NewsChange",
    "NewsHelpers",
    "NewsSnapshot",
    "NewsWanted",
    "UpdateFeed",
    "UpstreamState",
]
