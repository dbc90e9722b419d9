"""Queries: the state machine of one query, from arrival to its one reply.

The modules in the order of a query are `_admit`, `_start`, `_bind`, `_pick`,
`_send`, `_wait`, `_canary`, `_hedge`, `_merge` and `_deliver`.
"""

from jackdawsill.query import _handlers, _views  # noqa: F401
from jackdawsill.query._attach import attach_query_components
from jackdawsill.query._errors import (
    BadBody,
    BadHeader,
    BadToken,
    Condemned,
    DeadlinePassed,
    EntitlementLost,
    HostStopping,
    NoRoute,
    NoSnapshot,
    NotEntitled,
    NothingCovered,
    NotReady,
    Overloaded,
)
from jackdawsill.query._model import MissingReason
from jackdawsill.query._table import QueryTable

__all__ = [
    "BadBody",
    "BadHeader",
    "BadToken",
    "Condemned",
    "DeadlinePassed",
    "EntitlementLost",
    "HostStopping",
    "MissingReason",
    "NoRoute",
    "NoSnapshot",
    "NotEntitled",
    "NotReady",
    "NothingCovered",
    "Overloaded",
    "QueryTable",
    "attach_query_components",
]
