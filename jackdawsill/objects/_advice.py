"""Remarks on valid sets that an operator may not have intended."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from jackdawsill.objects._draft import ObjectId, Place
from jackdawsill.objects._model import ObjectSet

Remark = tuple[str, str, str]  # kind, name, message

ADVISERS: list[Callable[[ObjectSet], Iterator[Remark]]] = []


@dataclass(slots=True, frozen=True)
class Advice:
    """One remark at a line of a file; it does not make the set invalid."""

    file: str
    line: int
    section: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: [{self.section}] warning: {self.message}"


def adviser(
    function: Callable[[ObjectSet], Iterator[Remark]],
) -> Callable[[ObjectSet], Iterator[Remark]]:
    """Register a function that yields remarks on a set."""
    ADVISERS.append(function)
    return function


@adviser
def advise_on_replicas(objects: ObjectSet) -> Iterator[Remark]:
    """Remark on services that the loss of one failure domain takes away."""
    for service in objects.services:
        staying = [r for r in objects.replicas_of(service) if not r.leaving]
        domains = {replica.failure_domain for replica in staying}
        if len(domains) == 1:
            message = f"all replicas that stay are in failure domain {domains.pop()}"
            yield "service", service, message


@adviser
def advise_on_unused(objects: ObjectSet) -> Iterator[Remark]:
    """Remark on objects that nothing refers to."""
    routed = {route.group for route in objects.routes.values()}
    mapped = {
        shard.service
        for snapshot in objects.snapshots.values()
        for shard in snapshot.shards
    }
    staffed = {caller.department for caller in objects.callers.values()}
    measured = {objective.route for objective in objects.objectives.values()}
    for kind, names, used, message in (
        ("group", objects.groups, routed, "no route leads to the group"),
        ("service", objects.services, mapped, "no snapshot needs the service"),
        ("department", objects.departments, staffed, "the department has no caller"),
        ("route", objects.routes, measured, "the route has no objective"),
    ):
        for name in names:
            if name not in used:
                yield kind, name, message


@adviser
def advise_on_entitlements(objects: ObjectSet) -> Iterator[Remark]:
    """Remark on callers without a route, and on classes that nobody may see."""
    entitled: set[str] = set()
    for route in objects.routes.values():
        callers = [c for c in objects.callers.values() if objects.may_query(c, route)]
        entitled.update(caller.name for caller in callers)
        seen = {entry for caller in callers for entry in caller.classes}
        for entry in route.classes:
            if entry not in seen:
                message = f"no caller of the route may see class {entry}"
                yield "route", route.name, message
    for name in objects.callers:
        if name not in entitled:
            yield "caller", name, "the caller may query no route"


def advise(objects: ObjectSet, places: Mapping[ObjectId, Place]) -> tuple[Advice, ...]:
    """Return the remarks on a valid set, ordered by file and line."""
    found = []
    for adviser_function in ADVISERS:
        for kind, name, message in adviser_function(objects):
            place = places.get((kind, name)) or Place("", 0)
            found.append(Advice(place.file, place.line, f"{kind} {name}", message))
    return tuple(sorted(found, key=lambda a: (a.file, a.line, a.message)))
