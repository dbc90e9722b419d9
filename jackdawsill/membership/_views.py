"""Status and explain sections about members."""

from typing import Any

from jackdawsill.core import HostState, explain_section, status_section
from jackdawsill.membership._model import MemberState
from jackdawsill.membership._table import MemberTable


@status_section("members")
def member_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the live and the lost hosts in this host's member table."""
    table = state.components_.get(MemberTable)
    if table is None:
        return {}
    members = table.live_members()
    lost = [e.member for e in table.entries_.values() if e.state is MemberState.LOST]
    return {
        "n_live": len(members),
        "n_lost": len(lost),
        "live": sorted(f"{m.name}@{m.failure_domain}" for m in members),
        "lost": sorted(f"{m.name}@{m.failure_domain}" for m in lost),
    }


@explain_section("host", "members")
def explain_host(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return the known incarnations of a host by its name, or None without any."""
    table = state.components_.get(MemberTable)
    entries = [] if table is None else list(table.entries_.values())
    found = [entry for entry in entries if entry.member.name == name]
    rows = [
        {
            "incarnation": entry.member.incarnation,
            "address": entry.member.address,
            "failure_domain": entry.member.failure_domain,
            "state": entry.state.name.lower(),
            "refutation": entry.refutation,
            "changed_s_ago": round(now - entry.changed_at, 1),
        }
        for entry in found
    ]
    return {"processes": rows} if rows else None
