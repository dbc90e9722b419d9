"""Relaying of the store's news: few hosts follow the store, the others follow them."""

from jackdawsill.relaying import _handlers, _views  # noqa: F401
from jackdawsill.relaying._effects import FollowStore
from jackdawsill.relaying._feed import UpdateFeed, UpstreamState
from jackdawsill.relaying._messages import (
    CrashNotice,
    NewsBeat,
    NewsChange,
    NewsHelpers,
    NewsSnapshot,
    NewsWanted,
)

__all__ = [
    "CrashNotice",
    "FollowStore",
    "NewsBeat",
    "NewsChange",
    "NewsHelpers",
    "NewsSnapshot",
    "NewsWanted",
    "UpdateFeed",
    "UpstreamState",
]
