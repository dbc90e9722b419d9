"""Graceful stop of a host."""

from jackdawsill.stopping import _handlers as _handlers
from jackdawsill.stopping._registry import (
    HANDOVERS,
    PENDING_WORK_REPORTS,
    BaseHandover,
    PendingWork,
    register_handover,
    register_pending_work,
)
from jackdawsill.stopping._stopping import HostLifecycle, HostPhase

__all__ = [
    "HANDOVERS",
    "PENDING_WORK_REPORTS",
    "BaseHandover",
    "HostLifecycle",
    "HostPhase",
    "PendingWork",
    "register_handover",
    "register_pending_work",
]
