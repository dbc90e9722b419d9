"""Handlers that update the hedging components."""

from jackdawsill.core import Effect, HostState, SetAccepted, handles
from jackdawsill.hedging._budget import ExtraLoadBudget
from jackdawsill.hedging._policy import HedgePolicy


@handles(SetAccepted, needs=HedgePolicy)
def on_set_accepted(state: HostState, event: SetAccepted, now: float) -> list[Effect]:
    """Remove services and callers that the accepted object set does not contain."""
    if state.objects_ is not None:
        state.component(HedgePolicy).prune(state.objects_.services)
        state.component(ExtraLoadBudget).prune(state.objects_.callers)
    return []
