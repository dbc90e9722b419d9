"""Status section and explanations of hedge delays and extra-load budgets."""

from typing import Any

from jackdawsill.core import HostState, explain_section, status_section
from jackdawsill.hedging._budget import BURST_TOKENS, ExtraLoadBudget
from jackdawsill.hedging._policy import N_SAMPLES_MIN, HedgePolicy


@status_section("hedging")
def hedge_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the hedge delay of each service with recorded answers."""
    policy = state.components_.get(HedgePolicy)
    if policy is None:
        return {}
    rows = [
        {"service": s, **_describe_delay(policy, s, now)}
        for s in sorted(policy.services_)
    ]
    return {"quantile": policy.quantile, "services": rows}


@explain_section("replica", "hedging")
def explain_replica(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return the hedge delay of a replica's service; None for an unknown replica."""
    replica = None if state.objects_ is None else state.objects_.replicas.get(name)
    policy = state.components_.get(HedgePolicy)
    if replica is None or policy is None:
        return None
    return {"service": replica.service, **_describe_delay(policy, replica.service, now)}


@explain_section("service", "hedging")
def explain_service(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return the hedge delay of a service; None if it is unknown."""
    policy = state.components_.get(HedgePolicy)
    if state.objects_ is None or name not in state.objects_.services or policy is None:
        return None
    return _describe_delay(policy, name, now)


@explain_section("caller", "extra_load")
def explain_caller(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return the tokens that a caller has for hedges and retries."""
    caller = None if state.objects_ is None else state.objects_.callers.get(name)
    budget = state.components_.get(ExtraLoadBudget)
    if caller is None or budget is None:
        return None
    tokens = budget.tokens_.get(name)
    return {
        "earned_per_sub_request": caller.extra_load,
        "tokens": round(tokens.general, 2) if tokens else 0.0,
        "tokens_for_missing_shards": round(tokens.for_missing, 2) if tokens else 0.0,
        "tokens_max": BURST_TOKENS,
    }


def _describe_delay(policy: HedgePolicy, service: str, now: float) -> dict[str, Any]:
    """Return the hedge delay of a service, and whether it is the default."""
    delay_ms = round(policy.delay_s(service, now) * 1000.0, 1)
    latencies = policy.services_.get(service)
    histograms = (latencies.current, latencies.previous) if latencies else ()
    n_samples = sum(h.total_count for h in histograms if h is not None)
    source = "learned" if n_samples >= N_SAMPLES_MIN else "default"
    return {"hedge_delay_ms": delay_ms, "source": source, "samples": n_samples}
