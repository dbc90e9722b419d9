"""Differences between two object sets, and the callers that they affect."""

from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Any

from jackdawsill.objects._kinds import KINDS
from jackdawsill.objects._model import Caller, ObjectSet


class Action(StrEnum):
    """How an object differs between two sets."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(slots=True, frozen=True)
class KeyChange:
    """Old and new value of one key."""

    key: str
    old: Any
    new: Any


@dataclass(slots=True, frozen=True)
class ObjectChange:
    """One object that differs; `keys` is empty unless the action is CHANGED."""

    kind: str
    name: str
    action: Action
    keys: tuple[KeyChange, ...] = ()


@dataclass(slots=True, frozen=True)
class RouteClass:
    """A document class that a caller may see on a route."""

    route: str
    document_class: str


@dataclass(slots=True, frozen=True)
class CallerChange:
    """What changes for one caller; `action` is None if its object is unchanged.

    `routes_changed` are routes that it may query in both sets, but that changed in
    group, repeatability or deadline.
    """

    caller: str
    action: Action | None
    routes_gained: tuple[str, ...] = ()
    routes_lost: tuple[str, ...] = ()
    routes_changed: tuple[str, ...] = ()
    classes_gained: tuple[RouteClass, ...] = ()
    classes_lost: tuple[RouteClass, ...] = ()
    weight_changed: bool = False


@dataclass(slots=True, frozen=True)
class SetDiff:
    """Changed objects by kind and name, and affected callers by name."""

    objects: tuple[ObjectChange, ...]
    callers: tuple[CallerChange, ...]


def _compare_object(kind: str, old: Any, new: Any) -> ObjectChange | None:
    """Return how one object differs, or None if it does not."""
    if old == new:
        return None
    if old is None:
        return ObjectChange(kind, new.name, Action.ADDED)
    if new is None:
        return ObjectChange(kind, old.name, Action.REMOVED)
    keys = {spec.attribute: key for key, spec in KINDS[kind].keys.items()}
    changed = (
        f.name for f in fields(new) if getattr(old, f.name) != getattr(new, f.name)
    )
    return ObjectChange(
        kind,
        new.name,
        Action.CHANGED,
        tuple(KeyChange(keys[n], getattr(old, n), getattr(new, n)) for n in changed),
    )


def _allowed_routes(objects: ObjectSet, caller: Caller | None) -> set[str]:
    """Return the routes that a caller may query."""
    if caller is None:
        return set()
    return {
        route.name
        for route in objects.routes.values()
        if objects.may_query(caller, route)
    }


def _visible_classes(
    objects: ObjectSet, caller: Caller | None, routes: set[str]
) -> set[RouteClass]:
    """Return the classes that a caller may see on the routes."""
    if caller is None:
        return set()
    return {
        RouteClass(name, entry)
        for name in routes
        for entry in objects.visible_classes(caller, objects.routes[name])
    }


def _department_weight(objects: ObjectSet, caller: Caller) -> float | None:
    department = objects.departments.get(caller.department)
    return department.weight if department else None


def _compare_caller(
    old_set: ObjectSet, new_set: ObjectSet, name: str
) -> CallerChange | None:
    """Return what changes for one caller, or None if nothing does."""
    old, new = old_set.callers.get(name), new_set.callers.get(name)
    change = _compare_object("caller", old, new)
    old_routes, new_routes = (
        _allowed_routes(old_set, old),
        _allowed_routes(new_set, new),
    )
    old_classes = _visible_classes(old_set, old, old_routes)
    new_classes = _visible_classes(new_set, new, new_routes)
    routes_in_both = old_routes & new_routes
    result = CallerChange(
        name,
        change.action if change else None,
        tuple(sorted(new_routes - old_routes)),
        tuple(sorted(old_routes - new_routes)),
        tuple(
            sorted(
                r
                for r in routes_in_both
                if _query_parameters(old_set, r) != _query_parameters(new_set, r)
            )
        ),
        _sort_classes(new_classes - old_classes),
        _sort_classes(old_classes - new_classes),
        bool(
            old
            and new
            and _department_weight(old_set, old) != _department_weight(new_set, new)
        ),
    )
    return None if result == CallerChange(name, None) else result


def _query_parameters(objects: ObjectSet, route_name: str) -> tuple[str, bool, int]:
    """Return the properties of a route that do not concern entitlements."""
    route = objects.routes[route_name]
    return route.group, route.repeatable, route.deadline_ms


def _sort_classes(classes: set[RouteClass]) -> tuple[RouteClass, ...]:
    return tuple(sorted(classes, key=lambda c: (c.route, c.document_class)))


def diff(old_set: ObjectSet, new_set: ObjectSet) -> SetDiff:
    """Return the objects that differ between `a` and `b`, and the affected callers."""
    changes = []
    for kind, spec in KINDS.items():
        old, new = getattr(old_set, spec.table), getattr(new_set, spec.table)
        for name in sorted(old.keys() | new.keys()):
            change = _compare_object(kind, old.get(name), new.get(name))
            if change is not None:
                changes.append(change)
    callers = (
        _compare_caller(old_set, new_set, name)
        for name in sorted(old_set.callers.keys() | new_set.callers)
    )
    return SetDiff(tuple(changes), tuple(c for c in callers if c is not None))
