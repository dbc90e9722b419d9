"""Graceful stop of a host."""

from jackdawsill.stopping import _handlers as _handlers
from jackdawsill.stopping._registry import (
    HANDOVERS,
    IN_HAND,
    BaseHandover,
    InHand,
    register_handover,
    register_in_hand,
)
from jackdawsill.stopping._stopping import Phase, Stopping

__all__ = [
    "HANDOVERS",
    "IN_HAND",
    "BaseHandover",
    "InHand",
    "Phase",
    "Stopping",
    "register_handover",
    "register_in_hand",
]
