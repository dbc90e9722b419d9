"""Operator views of state that belongs to no single component."""

from dataclasses import asdict
from typing import Any

from jackdawsill.core import HostState, explains, status_section
from jackdawsill.limits import ConnectionShares
from jackdawsill.membership import MemberTable
from jackdawsill.routing import ReplicaTable
from jackdawsill.spread import ConfigSpread
from jackdawsill.stopping import Stopping


@status_section("host")
def host_status(state: HostState, now: float) -> dict[str, Any]:
    """Return identity, phase and generation."""
    objects = state.objects_
    return {
        "name": state.name,
        "failure_domain": state.failure_domain,
        "incarnation": state.part(MemberTable).self_member.incarnation,
        "ready": state.ready_,
        "phase": str(state.part(Stopping).phase_),
        "generation": None if objects is None else objects.generation,
        "digest": None if objects is None else objects.digest,
        "generation_confirmed": state.part(ConfigSpread).confirmed_,
    }


@status_section("members")
def member_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the live hosts in this host's view."""
    members = state.part(MemberTable).live_hosts()
    return {
        "n_live": len(members),
        "live": sorted(f"{m.name}@{m.failure_domain}" for m in members),
    }


@explains("replica", "observed")
def replica_observed(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return what this host has seen of a replica; None before the first use."""
    table = state.part(ReplicaTable)
    seen = table.replicas_.get(name)
    if seen is None:
        return None
    return {
        "in_flight": seen.in_flight,
        "latency_ms": round(seen.latency_s * 1000.0, 3),
        "failures_in_a_row": seen.n_failures,
        "may_use": table.may_use(name, now),
        "ejected_for_s": _left_s(seen.ejected_until, now),
        "leaving_for_s": _left_s(seen.leaving_until, now),
        "in_ramp": seen.ramp_from is not None,
        "connection_share": state.part(ConnectionShares).share(name, now),
    }


@explains("replica", "object")
def replica_object(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return a replica as the accepted set describes it."""
    objects = state.objects_
    replica = None if objects is None else objects.replicas.get(name)
    return None if replica is None else asdict(replica)


def _left_s(until: float | None, now: float) -> float | None:
    """Return the seconds that a mark still holds."""
    return None if until is None else round(max(0.0, until - now), 3)
