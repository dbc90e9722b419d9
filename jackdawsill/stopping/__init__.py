"""Host lifecycle: joining, serving and the graceful stop."""

from jackdawsill.stopping import _handlers as _handlers
from jackdawsill.stopping._lifecycle import HostLifecycle, HostPhase
from jackdawsill.stopping._registry import (
    HANDOVERS,
    PENDING_WORK_REPORTS,
    BaseHandover,
    PendingWork,
    register_handover,
    register_pending_work,
)

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
