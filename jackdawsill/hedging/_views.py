"""Operator views of hedge delays and extra-load budgets."""

from typing import Any

from jackdawsill.core import HostState, explain_section, status_section
from jackdawsill.hedging._budget import BURST_TOKENS, ExtraLoadBudget
from jackdawsill.hedging._policy import N_SAMPLES_MIN, HedgePolicy


@status_section("hedging")
def hedge_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the hedge delay of each service that was queried."""
    policy = state.components_.get(HedgePolicy)
    if policy is None:
        return {}
    rows = [{"service": s, **_delay(policy, s, now)} for s in sorted(policy.learned_)]
    return {"quantile": policy.quantile, "services": rows}


@explain_section("replica", "hedging")
def explain_replica(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return the hedge delay of a replica's service."""
    replica = None if state.objects_ is None else state.objects_.replicas.get(name)
    policy = state.components_.get(HedgePolicy)
    if replica is None or policy is None:
        return None
    return {"service": replica.service, **_delay(policy, replica.service, now)}


@explain_section("service", "hedging")
def explain_service(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return the hedge delay of a service."""
    policy = state.components_.get(HedgePolicy)
    if state.objects_ is None or name not in state.objects_.services or policy is None:
        return None
    return _delay(policy, name, now)


@explain_section("caller", "extra_load")
def explain_caller(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return the tokens that a caller has left for hedges and retries."""
    caller = None if state.objects_ is None else state.objects_.callers.get(name)
    budget = state.components_.get(ExtraLoadBudget)
    if caller is None or budget is None:
        return None
    tokens = budget.tokens_.get(name)
    return {
        "earned_per_sub_request": caller.extra_load,
        "tokens": round(tokens.usual, 2) if tokens else 0.0,
        "tokens_for_missing_shards": round(tokens.missing, 2) if tokens else 0.0,
        "tokens_max": BURST_TOKENS,
    }


def _delay(policy: HedgePolicy, service: str, now: float) -> dict[str, Any]:
    """Return the hedge delay of a service and whether it was learned."""
    delay_ms = round(policy.delay_s(service, now) * 1000.0, 1)
    learned = policy.learned_.get(service)
    histograms = (learned.current, learned.previous) if learned else ()
    n_samples = sum(h.total_count for h in histograms if h is not None)
    source = "learned" if n_samples >= N_SAMPLES_MIN else "default"
    return {"hedge_delay_ms": delay_ms, "source": source, "samples": n_samples}
