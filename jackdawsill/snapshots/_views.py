"""Operator views of snapshots."""

from typing import Any

from jackdawsill.core import HostState, explain_section, status_section
from jackdawsill.objects import ObjectSet
from jackdawsill.snapshots._table import SnapshotTable


@status_section("snapshots")
def snapshot_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the newest published and the newest servable snapshot of each group."""
    table = state.components_.get(SnapshotTable)
    objects = state.objects_
    if table is None or objects is None:
        return {}
    rows = [
        {"group": group, **_describe_group(table, group, objects, now)}
        for group in sorted(objects.groups)
    ]
    return {"groups": rows}


@explain_section("route", "snapshots")
def explain_route(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return the snapshots of a route's group; None if the route does not exist."""
    table = state.components_.get(SnapshotTable)
    objects = state.objects_
    route = None if objects is None else objects.routes.get(name)
    if objects is None or route is None or table is None:
        return None
    return _describe_group(table, route.group, objects, now)


@explain_section("replica", "snapshots")
def explain_replica(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return the snapshots whose declines by a replica have not expired."""
    table = state.components_.get(SnapshotTable)
    replica = None if state.objects_ is None else state.objects_.replicas.get(name)
    if replica is None or table is None:
        return None
    declined = [
        snapshot
        for snapshot in sorted(table.states_)
        if name in table.declining(snapshot, replica.service, now)
    ]
    return {"declined_lately": declined}


def _describe_group(
    table: SnapshotTable, group: str, objects: ObjectSet, now: float
) -> dict[str, Any]:
    """Return the newest published and the newest servable snapshot of a group."""
    published = objects.snapshots_of(group)
    servable = table.newest_servable(group, objects, now)
    return {
        "newest_published": published[0].name if published else None,
        "answered_from": None if servable is None else servable.name,
        "n_published": len(published),
    }
