"""Limits: admission, concurrency, connection shares and retry suppression."""

from jackdawsill.limits import _handlers, _views  # noqa: F401
from jackdawsill.limits._admission import (
    AdmissionDecision,
    AdmissionQueue,
    ReleasedQueries,
)
from jackdawsill.limits._concurrency import ConcurrencyLimits
from jackdawsill.limits._messages import (
    SubBatch,
    SubBatchReply,
    SubEntry,
    SubReply,
)
from jackdawsill.limits._shares import SHARE_RECOVERY_S, ConnectionShares
from jackdawsill.limits._shed_rates import SHED_FRACTION_MAX, ShedWatch

__all__ = [
    "SHARE_RECOVERY_S",
    "SHED_FRACTION_MAX",
    "AdmissionDecision",
    "AdmissionQueue",
    "ConcurrencyLimits",
    "ConnectionShares",
    "ReleasedQueries",
    "ShedWatch",
    "SubBatch",
    "SubBatchReply",
    "SubEntry",
    "SubReply",
]
