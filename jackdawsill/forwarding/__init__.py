"""Decisions about forwarded calls, without I/O.

Events report calls, answers and changes in the platform's store; effects ask the
gateway to send attempts and replies.
"""

from jackdawsill.forwarding import (  # noqa: F401
    _admit,
    _attempt_handlers,
    _crash_handlers,
    _reach_handlers,
    _signal_handlers,
    _store_handlers,
    _views,
    _warming,
)
from jackdawsill.forwarding._budget import RetryBudget
from jackdawsill.forwarding._calls import CallTable
from jackdawsill.forwarding._catalog import RouteCatalog
from jackdawsill.forwarding._crashes import Crash, CrashEvidence
from jackdawsill.forwarding._delegates import DelegateHost, DelegateTable
from jackdawsill.forwarding._effects import (
    AbortAttempt,
    CheckStore,
    CloseCallerConnections,
    DropIdleConnections,
    DropReplicaConnections,
    PassAnswer,
    RefuseCall,
    RejectWaiting,
    SendAttempt,
    SendMerged,
    VerifyReplica,
    WarmReplicas,
    WithdrawUnsent,
)
from jackdawsill.forwarding._entry_bounds import check_entry, usable_entries
from jackdawsill.forwarding._errors import DelegationDeclined
from jackdawsill.forwarding._events import (
    PEER,
    REFUSED,
    STORE,
    AttemptAnswered,
    AttemptFailed,
    CallAbandoned,
    CallArrived,
    CrashConfirmed,
    CrashRecorded,
    LeavingRecorded,
    LeavingReported,
    LimitRecorded,
    LimitReported,
    ReplicaConnected,
    ReplicaRefused,
    ReplicasChanged,
    ReplicasExpired,
    ReplicasListed,
    ReplicaSpoke,
    ReplicaUnreachable,
    RoutesRead,
    StoreAnswerTooLong,
    StoreConfirmed,
    StoreHistoryLost,
    StoreLost,
    StoreRegained,
)
from jackdawsill.forwarding._fleet import FleetSize
from jackdawsill.forwarding._lifecycle import GatewayLifecycle, GatewayPhase
from jackdawsill.forwarding._limit_shares import Demand, LimitShares, add_demands
from jackdawsill.forwarding._model import (
    STORE_START,
    CallerLimits,
    ForwardRequest,
    ForwardRoute,
    Headers,
    MergedAnswer,
    ReplicaAnswer,
    ReplicaEntry,
    RouteSet,
    StorePosition,
    WeightedService,
    is_overtaken,
)
from jackdawsill.forwarding._policy import ForwardingPolicy
from jackdawsill.forwarding._registry import ReplicaRegistry
from jackdawsill.forwarding._replica import LiveReplica
from jackdawsill.forwarding._replies import CALL_SECONDS, greatest_records
from jackdawsill.forwarding._route_bounds import check_routes
from jackdawsill.forwarding._signals import (
    NO_SIGNALS,
    ReplicaSignals,
    read_signals,
)
from jackdawsill.forwarding._warming import ConnectionWarmer

__all__ = [
    "CALL_SECONDS",
    "NO_SIGNALS",
    "PEER",
    "REFUSED",
    "STORE",
    "STORE_START",
    "AbortAttempt",
    "AttemptAnswered",
    "AttemptFailed",
    "CallAbandoned",
    "CallArrived",
    "CallTable",
    "CallerLimits",
    "CheckStore",
    "CloseCallerConnections",
    "ConnectionWarmer",
    "Crash",
    "CrashConfirmed",
    "CrashEvidence",
    "CrashRecorded",
    "DelegateHost",
    "DelegateTable",
    "DelegationDeclined",
    "Demand",
    "DropIdleConnections",
    "DropReplicaConnections",
    "FleetSize",
    "ForwardRequest",
    "ForwardRoute",
    "ForwardingPolicy",
    "GatewayLifecycle",
    "GatewayPhase",
    "Headers",
    "LeavingRecorded",
    "LeavingReported",
    "LimitRecorded",
    "LimitReported",
    "LimitShares",
    "LiveReplica",
    "MergedAnswer",
    "PassAnswer",
    "RefuseCall",
    "RejectWaiting",
    "ReplicaAnswer",
    "ReplicaConnected",
    "ReplicaEntry",
    "ReplicaRefused",
    "ReplicaRegistry",
    "ReplicaSignals",
    "ReplicaSpoke",
    "ReplicaUnreachable",
    "ReplicasChanged",
    "ReplicasExpired",
    "ReplicasListed",
    "RetryBudget",
    "RouteCatalog",
    "RouteSet",
    "RoutesRead",
    "SendAttempt",
    "SendMerged",
    "StoreAnswerTooLong",
    "StoreConfirmed",
    "StoreHistoryLost",
    "StoreLost",
    "StorePosition",
    "StoreRegained",
    "VerifyReplica",
    "WarmReplicas",
    "WeightedService",
    "WithdrawUnsent",
    "add_demands",
    "check_entry",
    "check_routes",
    "greatest_records",
    "is_overtaken",
    "read_signals",
    "usable_entries",
]
