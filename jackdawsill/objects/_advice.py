"""Warnings about valid object sets that an operator may not have intended."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from jackdawsill.objects._draft import ObjectId, Place
from jackdawsill.objects._model import ObjectSet

AdviceItem = tuple[str, str, str]  # kind and name of an object, and the message

ADVICE_CHECKS: list[Callable[[ObjectSet], Iterator[AdviceItem]]] = []


@dataclass(slots=True, frozen=True)
class Advice:
    """Advice: a warning at a line of a file that does not make the set invalid."""

    file: str
    line: int
    section: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: [{self.section}] warning: {self.message}"


def register_advice_check(
    function: Callable[[ObjectSet], Iterator[AdviceItem]],
) -> Callable[[ObjectSet], Iterator[AdviceItem]]:
    """Register a function that yields warnings about a set."""
    ADVICE_CHECKS.append(function)
    return function


@register_advice_check
def check_failure_domains(objects: ObjectSet) -> Iterator[AdviceItem]:
    """Warn about services whose replicas are all in one failure domain."""
    for service in objects.services:
        not_leaving = [r for r in objects.replicas_of(service) if not r.leaving]
        domains = {replica.failure_domain for replica in not_leaving}
        if len(domains) == 1:
            message = f"all replicas not leaving are in failure domain {domains.pop()}"
            yield "service", service, message


@register_advice_check
def check_unused_objects(objects: ObjectSet) -> Iterator[AdviceItem]:
    """Warn about objects that no other object refers to."""
    used_groups = {route.group for route in objects.routes.values()}
    used_services = {
        shard.service
        for snapshot in objects.snapshots.values()
        for shard in snapshot.shards
    }
    used_departments = {caller.department for caller in objects.callers.values()}
    used_routes = {objective.route for objective in objects.objectives.values()}
    for kind, names, used, message in (
        ("group", objects.groups, used_groups, "no route queries the group"),
        ("service", objects.services, used_services, "no snapshot needs the service"),
        (
            "department",
            objects.departments,
            used_departments,
            "the department has no caller",
        ),
        ("route", objects.routes, used_routes, "the route has no objective"),
    ):
        for name in names:
            if name not in used:
                yield kind, name, message


@register_advice_check
def check_visibility(objects: ObjectSet) -> Iterator[AdviceItem]:
    """Warn about callers without a route, and classes that no caller may see."""
    callers_with_route: set[str] = set()
    for route in objects.routes.values():
        callers = [c for c in objects.callers.values() if objects.may_query(c, route)]
        callers_with_route.update(caller.name for caller in callers)
        visible = {
            document_class for caller in callers for document_class in caller.classes
        }
        for document_class in route.classes:
            if document_class not in visible:
                message = f"no caller of the route may see class {document_class}"
                yield "route", route.name, message
    for name in objects.callers:
        if name not in callers_with_route:
            yield "caller", name, "the caller may query no route"


def find_advice(
    objects: ObjectSet, places: Mapping[ObjectId, Place]
) -> tuple[Advice, ...]:
    """Return the warnings about a valid set, ordered by file and line."""
    found = []
    for check in ADVICE_CHECKS:
        for kind, name, message in check(objects):
            place = places.get((kind, name)) or Place("", 0)
            found.append(Advice(place.file, place.line, f"{kind} {name}", message))
    return tuple(sorted(found, key=lambda a: (a.file, a.line, a.message)))
