"""Operator views of replicas."""

from typing import Any

from jackdawsill.core import HostState, explain_section, seconds_left, status_section
from jackdawsill.routing._replica import RAMP_S, ReplicaState
from jackdawsill.routing._table import ReplicaTable

LEAVING_IN_SET = "no new work: it is marked as leaving in the set"


@status_section("replicas")
def replica_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the replicas that do not get their full share of work, with the reason."""
    table = state.components_.get(ReplicaTable)
    if table is None:
        return {}
    treatments = {
        n: treatment(observed, now) for n, observed in table.replicas_.items()
    }
    known = {} if state.objects_ is None else state.objects_.replicas
    treatments |= {name: LEAVING_IN_SET for name, r in known.items() if r.leaving}
    treated = [
        {"replica": name, "treatment": text}
        for name, text in sorted(treatments.items())
        if text != "in use"
    ]
    return {"n_observed": len(table.replicas_), "not_as_usual": treated}


@explain_section("replica", "observed")
def explain_replica(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return the observations of a replica; None if it does not exist."""
    table = state.components_.get(ReplicaTable)
    known = None if state.objects_ is None else state.objects_.replicas.get(name)
    observed = None if table is None else table.replicas_.get(name)
    if observed is None:
        if known is None:
            return None
        return {"treatment": LEAVING_IN_SET if known.leaving else "not used yet"}
    is_marked = known is not None and known.leaving
    return {
        "treatment": LEAVING_IN_SET if is_marked else treatment(observed, now),
        "in_flight": observed.in_flight,
        "latency_ms": round(observed.latency_s * 1000.0, 3),
        "failures_in_a_row": observed.n_failures,
        "draining_for_s": seconds_left(observed.leaving_until, now),
        "ejected_for_s": seconds_left(observed.ejected_until, now),
        "next_backoff_s": observed.backoff_s,
        "ramp_fraction": round(current_ramp_fraction(observed, now), 3),
        "reserved_for_canary": observed.reserved,
    }


def current_ramp_fraction(observed: ReplicaState, now: float) -> float:
    """Return the fraction of its full share of work that a replica gets.

    Unlike `ReplicaState.may_use`, this changes nothing: the next choice of a replica
    drops an expired leaving mark and starts the ramp-up, and a view must not do so.
    """
    if observed.ramp_started_at is None or now >= observed.ramp_started_at + RAMP_S:
        return 1.0
    return observed.ramp_fraction(now)


def treatment(observed: ReplicaState, now: float) -> str:
    """Return the first reason for which a replica gets less work, or "in use"."""
    if observed.leaving_until is not None and now < observed.leaving_until:
        return "no new work: it is leaving"
    if observed.reserved:
        return "no new work: a canary runs alone"
    if observed.ejected_until is not None:
        if now < observed.ejected_until:
            return "no new work: ejected after failures"
        return "probed with one sub-request at a time"
    if current_ramp_fraction(observed, now) < 1.0:
        return "ramped: it returned cold"
    return "in use"
