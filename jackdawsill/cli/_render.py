"""Rendering of answers and of differences between object sets as text."""

from collections.abc import Iterator
from typing import Any

from jackdawsill.ini import one_line
from jackdawsill.objects import Action, CallerChange, SetDiff

INDENT = "  "
# These sections are printed first, because they explain the others: the object, and the
# identity, phase, object set and members of a host.
FIRST_SECTIONS = ("object", "host", "stopping", "spread", "members")


def printable(value: Any) -> str:
    """Return a scalar as text, with control characters escaped for the terminal."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.6g}"
    return one_line(str(value))


def in_print_order(answer: Any) -> Any:
    """Return an answer with its scalars first, then FIRST_SECTIONS, then the rest."""
    if not isinstance(answer, dict):
        return answer
    first = [name for name, item in answer.items() if _is_scalar(item)]
    first += [name for name in FIRST_SECTIONS if name in answer]
    return {name: answer[name] for name in dict.fromkeys([*first, *answer])}


def _is_scalar(value: Any) -> bool:
    return not isinstance(value, dict | list)


def _table(rows: list[dict[str, Any]]) -> Iterator[str]:
    """Yield the lines of a table; the values of all rows are scalars."""
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [[printable(column) for column in columns]]
    cells += [[printable(row.get(column)) for column in columns] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield INDENT.join(padded).rstrip()


def render(value: Any) -> Iterator[str]:
    """Yield readable lines for a decoded JSON value."""
    if isinstance(value, dict):
        for key, item in value.items():
            if _is_scalar(item):
                yield f"{printable(key)}: {printable(item)}"
            elif not item:
                yield f"{printable(key)}: none"
            else:
                yield f"{printable(key)}:"
                yield from (INDENT + line for line in render(item))
    elif isinstance(value, list):
        if value and all(
            isinstance(row, dict) and row and all(map(_is_scalar, row.values()))
            for row in value
        ):
            yield from _table(value)
            return
        for item in value:
            first, *rest = list(render(item)) or ["none"]
            yield f"- {first}"
            yield from (INDENT + line for line in rest)
    else:
        yield printable(value)


def _text_of_value(value: Any) -> str:
    """Return a value as in an object file; shards are written as name:service."""
    if isinstance(value, tuple):
        pairs = (
            entry if isinstance(entry, str) else f"{entry.name}:{entry.service}"
            for entry in value
        )
        return " ".join(pairs) or "none"
    return printable(value)


def _caller_changes(change: CallerChange) -> Iterator[str]:
    """Yield a line for a change of the caller itself, then its losses and gains."""
    if change.action is not None:
        yield f"caller is {change.action}"
    for route in change.routes_lost:
        yield f"loses route {route}"
    for lost in change.classes_lost:
        yield f"loses class {lost.document_class} on route {lost.route}"
    for route in change.routes_gained:
        yield f"gains route {route}"
    for gained in change.classes_gained:
        yield f"gains class {gained.document_class} on route {gained.route}"
    for route in change.routes_changed:
        yield f"route {route} is changed"
    if change.weight_changed:
        yield "weight of the department is changed"


def render_diff(difference: SetDiff) -> Iterator[str]:
    """Yield readable lines for the difference between two object sets."""
    yield f"objects that differ: {len(difference.objects)}"
    for change in difference.objects:
        yield f"{INDENT}{change.action} [{change.kind} {change.name}]"
        if change.action is Action.CHANGED:
            for key in change.keys:
                line = (
                    f"{key.key}: {_text_of_value(key.old)} -> {_text_of_value(key.new)}"
                )
                yield INDENT * 2 + line
    yield f"callers affected: {len(difference.callers)}"
    for caller in difference.callers:
        yield f"{INDENT}{caller.caller}"
        yield from (INDENT * 2 + line for line in _caller_changes(caller))
