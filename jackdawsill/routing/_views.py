"""Operator views of replicas."""

from typing import Any

from jackdawsill.core import HostState, explain_section, seconds_left, status_section
from jackdawsill.routing._replica import RAMP_S, ReplicaState
from jackdawsill.routing._table import ReplicaTable

MARKED = "no new work: it is marked as leaving in the set"


@status_section("replicas")
def replica_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the replicas that are not used as usual, with the reason."""
    table = state.components_.get(ReplicaTable)
    if table is None:
        return {}
    treatments = {n: treatment(seen, now) for n, seen in table.replicas_.items()}
    known = {} if state.objects_ is None else state.objects_.replicas
    treatments |= {name: MARKED for name, r in known.items() if r.leaving}
    treated = [
        {"replica": name, "treatment": text}
        for name, text in sorted(treatments.items())
        if text != "in use"
    ]
    return {"n_observed": len(table.replicas_), "not_as_usual": treated}


@explain_section("replica", "observed")
def explain_replica(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return what this host has seen of a replica; None if it is unknown."""
    table = state.components_.get(ReplicaTable)
    known = None if state.objects_ is None else state.objects_.replicas.get(name)
    seen = None if table is None else table.replicas_.get(name)
    if seen is None:
        if known is None:
            return None
        return {"treatment": MARKED if known.leaving else "not used yet"}
    is_marked = known is not None and known.leaving
    return {
        "treatment": MARKED if is_marked else treatment(seen, now),
        "in_flight": seen.in_flight,
        "latency_ms": round(seen.latency_s * 1000.0, 3),
        "failures_in_a_row": seen.n_failures,
        "draining_for_s": seconds_left(seen.leaving_until, now),
        "ejected_for_s": seconds_left(seen.ejected_until, now),
        "next_backoff_s": seen.backoff_s,
        "ramp_fraction": round(ramp_fraction(seen, now), 3),
        "reserved_for_canary": seen.reserved,
    }


def ramp_fraction(seen: ReplicaState, now: float) -> float:
    """Return the fraction of its usual work that a replica takes.

    An expired mark is dropped only by the next choice of a replica, which begins the
    ramp, so a view must not drop it.
    """
    if seen.ramp_from is None or now >= seen.ramp_from + RAMP_S:
        return 1.0
    return seen.ramp(now)


def treatment(seen: ReplicaState, now: float) -> str:
    """Return the first reason for which a replica is not used as usual."""
    if seen.leaving_until is not None and now < seen.leaving_until:
        return "no new work: it is leaving"
    if seen.reserved:
        return "no new work: a canary runs alone"
    if seen.ejected_until is not None:
        if now < seen.ejected_until:
            return "no new work: ejected after failures"
        return "probed with one sub-request at a time"
    if ramp_fraction(seen, now) < 1.0:
        return "ramped: it returned cold"
    return "in use"
