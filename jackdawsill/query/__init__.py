"""Queries: the state machine of one query, from its arrival to its only reply.

A query is sent to one replica of each shard of a snapshot; the answers are merged
into one. The modules, in the order in which a query passes through them, are
`_admit`, `_start`, `_bind`, `_pick`, `_send`, `_results`, `_hedge`, `_merge` and
`_finish`. `_canary` tests requests that are suspected of crashing backend servers.
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
