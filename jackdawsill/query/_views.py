"""Operator views of routes, callers, fingerprints and running queries."""

from typing import Any

from jackdawsill.core import HostState, explain_section, status_section
from jackdawsill.query._table import QueryTable


@status_section("queries")
def query_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the numbers of unreplied queries, sub-requests and waiting shards."""
    table = state.components_.get(QueryTable)
    if table is None:
        return {}
    return {
        "running": table.n_unreplied(),
        "sub_requests_in_flight": len(table.subs_),
        "shards_waiting_for_room": sum(map(len, table.waiting_for_capacity_.values())),
        "shards_held_after_a_shed": sum(map(len, table.waiting_after_shed_.values())),
        "canaries": len(table.canaries_),
    }


@explain_section("route", "entitlement")
def explain_route(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return who may use a route and how it is run; None if it does not exist."""
    objects = state.objects_
    route = None if objects is None else objects.routes.get(name)
    if objects is None or route is None:
        return None
    allowed = [c for c in objects.callers.values() if objects.may_query(c, route)]
    return {
        "group": route.group,
        "repeatable": route.repeatable,
        "needs_ticket": not route.repeatable,
        "deadline_ms": route.deadline_ms,
        "classes": list(route.classes),
        "callers": [
            {
                "caller": caller.name,
                "because": _reason(caller.name in route.callers, caller.department),
                "sees": " ".join(sorted(objects.visible_classes(caller, route))),
            }
            for caller in sorted(allowed, key=lambda c: c.name)
        ],
        "running": _n_running(state, "route", name),
    }


@explain_section("caller", "entitlement")
def explain_caller(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return which routes and classes a caller may use; None if it does not exist."""
    objects = state.objects_
    caller = None if objects is None else objects.callers.get(name)
    if objects is None or caller is None:
        return None
    department = objects.departments[caller.department]
    return {
        "department": caller.department,
        "weight": department.weight,
        "policy": str(caller.policy),
        "classes": list(caller.classes),
        "routes": [
            {
                "route": route.name,
                "may_query": objects.may_query(caller, route),
                "because": _reason(name in route.callers, caller.department)
                if objects.may_query(caller, route)
                else "neither the caller nor its department is named",
                "sees": " ".join(sorted(objects.visible_classes(caller, route)))
                if objects.may_query(caller, route)
                else None,
            }
            for route in sorted(objects.routes.values(), key=lambda r: r.name)
        ],
        "running": _n_running(state, "caller", name),
    }


@explain_section("fingerprint", "queries")
def explain_fingerprint(
    state: HostState, name: str, now: float
) -> dict[str, Any] | None:
    """Return the running queries with a fingerprint; None if there are none."""
    table = state.components_.get(QueryTable)
    queries = {} if table is None else table.by_fingerprint_.get(name, {})
    if table is None or not queries:
        return None
    return {"running": len(queries), "canary_runs": name in table.canaries_}


def _reason(is_named: bool, department: str) -> str:
    """Return the reason for which a caller may use a route."""
    return "the route names it" if is_named else f"department {department}"


def _n_running(state: HostState, attribute: str, name: str) -> int:
    """Return the number of queries whose `attribute` (route or caller) has a name."""
    table = state.components_.get(QueryTable)
    queries = () if table is None else table.queries_.values()
    return sum(getattr(query, attribute).name == name for query in queries)
