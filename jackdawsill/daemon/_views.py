"""Operator views that combine several components."""

from dataclasses import asdict
from typing import Any

from jackdawsill.core import HostState, explain_section, status_section
from jackdawsill.membership import MemberTable
from jackdawsill.spread import ConfigSync
from jackdawsill.stopping import HostLifecycle


@status_section("host")
def host_status(state: HostState, now: float) -> dict[str, Any]:
    """Return identity, phase and generation of the host."""
    objects = state.objects_
    return {
        "name": state.name,
        "failure_domain": state.failure_domain,
        "incarnation": state.component(MemberTable).self_member.incarnation,
        "ready": state.ready_,
        "phase": str(state.component(HostLifecycle).phase_),
        "generation": None if objects is None else objects.generation,
        "digest": None if objects is None else objects.digest,
        "generation_confirmed": state.component(ConfigSync).confirmed_,
    }


@explain_section("replica", "object")
def replica_object(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return a replica as the accepted object set defines it."""
    objects = state.objects_
    replica = None if objects is None else objects.replicas.get(name)
    return None if replica is None else asdict(replica)
