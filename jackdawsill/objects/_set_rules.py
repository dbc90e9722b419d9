"""Rules on the relations between the objects of a set."""

import ipaddress
from collections import defaultdict

from jackdawsill.objects._draft import Draft
from jackdawsill.objects._errors import (
    DanglingReference,
    DuplicateAddress,
    DuplicateShard,
    DuplicateToken,
    DuplicateVersion,
    ForeignService,
    GroupWithoutSnapshot,
    NoSingleService,
    NothingVisible,
    OutOfRange,
    RouteWithoutCallers,
    ServiceWithoutReplica,
    UnservedClass,
)
from jackdawsill.objects._model import Snapshot
from jackdawsill.objects._rules import rule

# (kind, key) of each reference -> kind of the referenced object. The key is also the
# name of the attribute, which holds one name or several.
REFERENCES: dict[tuple[str, str], str] = {
    ("caller", "department"): "department",
    ("service", "group"): "group",
    ("replica", "service"): "service",
    ("snapshot", "group"): "group",
    ("route", "group"): "group",
    ("route", "departments"): "department",
    ("route", "callers"): "caller",
    ("objective", "route"): "route",
}


def _check_reference(draft: Draft, kind: str, name: str, key: str, target: str) -> None:
    # The default is for the services in `shards` of a snapshot.
    target_kind = REFERENCES.get((kind, key), "service")
    table = draft.tables[target_kind]
    if target not in table:
        message = f"{key} names {target_kind} {target!r}, which is not in the set"
        message += draft.suggest(target, table)
        draft.add(DanglingReference, message, kind, name, key)


@rule
def check_references(draft: Draft) -> None:
    """Report references to objects that are not in the set."""
    for kind, key in REFERENCES:
        for item in draft.objects(kind):
            value = getattr(item, key)
            for target in (value,) if isinstance(value, str) else dict.fromkeys(value):
                _check_reference(draft, kind, item.name, key, target)
    for snapshot in draft.objects("snapshot"):
        for service in dict.fromkeys(shard.service for shard in snapshot.shards):
            _check_reference(draft, "snapshot", snapshot.name, "shards", service)


@rule
def check_duplicate_tokens(draft: Draft) -> None:
    """Report callers with equal tokens, which could not be told apart."""
    owners: dict[str, str] = {}
    for caller in draft.objects("caller"):
        if draft.has_placeholder("caller", caller.name, "token_sha256"):
            continue
        owner = owners.setdefault(caller.token_sha256, caller.name)
        if owner != caller.name:
            message = f"token_sha256 is also that of caller {owner}"
            draft.add(DuplicateToken, message, "caller", caller.name, "token_sha256")


@rule
def check_duplicate_addresses(draft: Draft) -> None:
    """Report replicas with equal addresses; their capacity would be counted twice."""
    owners: dict[tuple[str, int], str] = {}
    for replica in draft.objects("replica"):
        if draft.has_placeholder("replica", replica.name, "address", "port"):
            continue
        address = replica.address
        if ":" in address:
            # An IPv6 address has several spellings.
            try:
                address = str(ipaddress.ip_address(address))
            except ValueError:
                continue
        owner = owners.setdefault((address, replica.port), replica.name)
        if owner != replica.name:
            message = f"{address} port {replica.port} is also that of replica {owner}"
            draft.add(DuplicateAddress, message, "replica", replica.name, "address")


def _newest_snapshots(draft: Draft) -> dict[str, Snapshot]:
    """Return the newest snapshot of each group."""
    newest: dict[str, Snapshot] = {}
    for snapshot in draft.objects("snapshot"):
        known = newest.get(snapshot.group)
        if known is None or snapshot.version > known.version:
            newest[snapshot.group] = snapshot
    return newest


@rule
def check_replicas(draft: Draft) -> None:
    """Report services without replicas, and needed ones with only leaving replicas."""
    has_replica_not_leaving: dict[str, bool] = {}
    for replica in draft.objects("replica"):
        known = has_replica_not_leaving.get(replica.service, False)
        has_replica_not_leaving[replica.service] = known or not replica.leaving
    for service in draft.tables["service"]:
        if service not in has_replica_not_leaving:
            message = "service has no replica"
            draft.add(ServiceWithoutReplica, message, "service", service)
    for snapshot in _newest_snapshots(draft).values():
        for service in dict.fromkeys(shard.service for shard in snapshot.shards):
            if service in draft.tables["service"] and not has_replica_not_leaving.get(
                service, True
            ):
                message = (
                    f"every replica is leaving, but the newest snapshot of group "
                    f"{snapshot.group}, {snapshot.name}, needs the service"
                )
                draft.add(ServiceWithoutReplica, message, "service", service)


@rule
def check_shard_maps(draft: Draft) -> None:
    """Report empty shard maps, duplicate shards and services of other groups."""
    services = draft.tables["service"]
    for snapshot in draft.objects("snapshot"):
        name = snapshot.name
        if not snapshot.shards:
            message = "shards must name at least one shard"
            draft.add(OutOfRange, message, "snapshot", name, "shards")
        seen: set[str] = set()
        reported: set[str] = set()
        for shard in snapshot.shards:
            if shard.name in seen:
                message = f"shards: shard {shard.name!r} is listed more than once"
                draft.add(DuplicateShard, message, "snapshot", name, "shards")
            seen.add(shard.name)
            service = services.get(shard.service)
            if service is None or service.group == snapshot.group:
                continue
            if shard.service not in reported:
                message = f"service {service.name} is of group {service.group}"
                draft.add(ForeignService, message, "snapshot", name, "shards")
            reported.add(shard.service)


@rule
def check_versions(draft: Draft) -> None:
    """Report snapshots of one group with equal versions."""
    owners: dict[tuple[str, int], str] = {}
    for snapshot in draft.objects("snapshot"):
        if draft.has_placeholder("snapshot", snapshot.name, "group", "version"):
            continue
        owner = owners.setdefault((snapshot.group, snapshot.version), snapshot.name)
        if owner != snapshot.name:
            message = f"version {snapshot.version} is also that of snapshot {owner}"
            draft.add(DuplicateVersion, message, "snapshot", snapshot.name, "version")


@rule
def check_route_groups(draft: Draft) -> None:
    """Report routes to groups that cannot serve them."""
    n_services: dict[str, int] = defaultdict(int)
    for service in draft.objects("service"):
        n_services[service.group] += 1
    snapshots: dict[str, list[Snapshot]] = defaultdict(list)
    for snapshot in draft.objects("snapshot"):
        snapshots[snapshot.group].append(snapshot)
    for route in draft.objects("route"):
        if route.group not in draft.tables["group"]:
            continue
        if not snapshots[route.group]:
            message = f"group {route.group} has no snapshot"
            draft.add(GroupWithoutSnapshot, message, "route", route.name, "group")
        if route.repeatable:
            continue
        # A not-repeatable request is sent to one replica only, so the group must have
        # a single service and shard.
        n_group_services = n_services[route.group]
        if n_group_services != 1:
            message = (
                f"not repeatable, but group {route.group} has "
                f"{n_group_services} services"
            )
            draft.add(NoSingleService, message, "route", route.name, "group")
        for snapshot in snapshots[route.group]:
            if len(snapshot.shards) > 1:
                message = (
                    f"not repeatable, but snapshot {snapshot.name} has "
                    f"{len(snapshot.shards)} shards"
                )
                draft.add(NoSingleService, message, "route", route.name, "group")


@rule
def check_entitlements(draft: Draft) -> None:
    """Report routes that no caller may query or that show a caller nothing."""
    callers_by_department = defaultdict(list)
    for caller in draft.objects("caller"):
        callers_by_department[caller.department].append(caller)
    for route in draft.objects("route"):
        name = route.name
        if not route.callers and not any(
            callers_by_department[d] for d in route.departments
        ):
            message = "nobody may query the route: it has no caller and no department"
            message += " with a caller"
            draft.add(RouteWithoutCallers, message, "route", name)
        if draft.has_placeholder("route", name, "classes") or not route.classes:
            continue
        served = frozenset(route.classes)
        for caller_name in route.callers:
            caller = draft.tables["caller"].get(caller_name)
            if caller and caller.classes and served.isdisjoint(caller.classes):
                message = f"caller {caller_name} may see none of the classes served"
                draft.add(NothingVisible, message, "route", name, "callers")
        for department in route.departments:
            callers = [
                caller for caller in callers_by_department[department] if caller.classes
            ]
            if callers and all(served.isdisjoint(c.classes) for c in callers):
                message = f"no caller of department {department} may see a class served"
                draft.add(NothingVisible, message, "route", name, "departments")


@rule
def check_served_classes(draft: Draft) -> None:
    """Report classes of callers that no route serves, which are probably misspelt."""
    served = {
        document_class
        for route in draft.objects("route")
        for document_class in route.classes
    }
    if not served:
        return
    for caller in draft.objects("caller"):
        for document_class in caller.classes:
            if document_class not in served:
                message = (
                    f"no route serves class {document_class!r}"
                    f"{draft.suggest(document_class, served)}"
                )
                draft.add(UnservedClass, message, "caller", caller.name, "classes")


@rule
def check_objectives(draft: Draft) -> None:
    """Report objectives whose latency exceeds the deadline of their route.

    Every query ends by the deadline, so queries that are refused then would meet them.
    """
    for objective in draft.objects("objective"):
        route = draft.tables["route"].get(objective.route)
        if route is None or draft.has_placeholder("route", route.name, "deadline_ms"):
            continue
        if objective.latency_ms > route.deadline_ms:
            message = (
                f"latency_ms is beyond the deadline of route {route.name}, "
                f"{route.deadline_ms} ms"
            )
            draft.add(OutOfRange, message, "objective", objective.name, "latency_ms")
