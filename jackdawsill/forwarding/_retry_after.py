"""When the replicas can serve a call, and when its caller is told to come back."""

import math

from jackdawsill.core import HostState
from jackdawsill.forwarding._calls import Call
from jackdawsill.forwarding._policy import RETRY_AFTER_FULL_S, RETRY_AFTER_UNKNOWN_S
from jackdawsill.forwarding._registry import ReplicaRegistry

# Callers that were refused together return within this time of one another, after the
# replicas can serve them.
RETRY_SPREAD_S = 0.25


def n_parts_needed(call: Call) -> int:
    """Return the number of parts that the route's minimum coverage requires."""
    n_parts = len(call.parts)
    n_needed = 1
    while n_needed < n_parts and n_needed / n_parts < call.route.min_coverage:
        n_needed += 1
    return n_needed


def servable_at(state: HostState, call: Call, now: float) -> float:
    """Return when enough parts of a call may be sent, by what its replicas allow.

    At most `now` if they may be sent now, infinity if too few replicas are known.
    """
    registry = state.component(ReplicaRegistry)
    available = sorted(registry.available_at(p.service, now) for p in call.parts)
    return available[n_parts_needed(call) - 1]


def retry_after_ms(state: HostState, call: Call, now: float) -> int:
    """Return when the caller of a refused call should retry, in milliseconds."""
    wait_s = math.inf if call.is_delegated else servable_at(state, call, now) - now
    if wait_s <= 0:
        return int(1000 * RETRY_AFTER_FULL_S)
    if wait_s == math.inf:
        wait_s = RETRY_AFTER_UNKNOWN_S
    return math.ceil(1000 * (wait_s + RETRY_SPREAD_S * state.rng.random()))
