"""Queries: the state machine of one query, from its arrival to its only reply.

A query is sent to one replica of each shard of a snapshot; the answers are merged
into one. The modules in the order in which a query passes through them:

- `_admit` checks a request and submits it to the admission queue.
- `_start` starts a query once the admission queue lets it run.
- `_bind` binds it to a snapshot, or to another one after declines.
- `_pick` chooses a replica for a shard.
- `_send` sends sub-requests.
- `_results` processes their answers and failures.
- `_hedge` sends second sub-requests for slow shards.
- `_merge` merges the answers of the shards.
- `_finish` replies and removes the query.

`_canary` tests requests that are suspected of crashing backend servers, `_shed_backoff`
retries shed shards, `_capacity` lets waiting queries and shards start, `_cancel`
cancels sub-requests, and `_table` holds all queries.
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
