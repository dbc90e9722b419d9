"""Registry of the operator views of components."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from jackdawsill.core._state import HostState

View = Callable[["HostState", float], dict[str, Any]]
ExplainView = Callable[["HostState", str, float], dict[str, Any] | None]

STATUS_SECTIONS: dict[str, View] = {}
REPORTS: dict[str, View] = {}
EXPLAIN_SECTIONS: dict[str, dict[str, ExplainView]] = {}


def seconds_left(until_at: float | None, now: float) -> float | None:
    """Return the seconds until `until_at`, at least 0 and rounded to 1 ms, or None."""
    return None if until_at is None else round(max(0.0, until_at - now), 3)


def _register_view(views: dict[str, Any], name: str, view: Any) -> None:
    """Register a view; raise `ValueError` if the name is taken."""
    if name in views:
        raise ValueError(f"view {name} is already registered by {views[name]}")
    views[name] = view


def status_section(name: str) -> Callable[[View], View]:
    """Return a decorator that registers a section of `/status`."""

    def decorate(view: View) -> View:
        _register_view(STATUS_SECTIONS, name, view)
        return view

    return decorate


def report_view(name: str) -> Callable[[View], View]:
    """Return a decorator that registers a report with a path of its own (`/burn`)."""

    def decorate(view: View) -> View:
        _register_view(REPORTS, name, view)
        return view

    return decorate


def explain_section(kind: str, section: str) -> Callable[[ExplainView], ExplainView]:
    """Return a decorator that registers a section of `/explain/<kind>/<name>`.

    The view returns None for an unknown name.
    """

    def decorate(view: ExplainView) -> ExplainView:
        _register_view(EXPLAIN_SECTIONS.setdefault(kind, {}), section, view)
        return view

    return decorate


def status(state: "HostState", now: float) -> dict[str, Any]:
    """Return the content of `/status`."""
    return {name: view(state, now) for name, view in STATUS_SECTIONS.items()}


def explain(
    state: "HostState", kind: str, name: str, now: float
) -> dict[str, Any] | None:
    """Return the explain sections of an object, None if no component knows it."""
    sections = {}
    for section, view in EXPLAIN_SECTIONS.get(kind, {}).items():
        content = view(state, name, now)
        if content is not None:
            sections[section] = content
    return sections or None
