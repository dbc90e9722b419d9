"""Registry of the views that components offer to operators."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from jackdawsill.core._state import HostState

View = Callable[["HostState", float], dict[str, Any]]
ExplainView = Callable[["HostState", str, float], dict[str, Any] | None]

STATUS_SECTIONS: dict[str, View] = {}
REPORTS: dict[str, View] = {}
EXPLAIN_SECTIONS: dict[str, dict[str, ExplainView]] = {}


def seconds_left(until: float | None, now: float) -> float | None:
    """Return the seconds that a mark still holds; None without a mark."""
    return None if until is None else round(max(0.0, until - now), 3)


def _add(views: dict[str, Any], name: str, view: Any) -> None:
    """Add a view under a name that is not taken."""
    if name in views:
        raise ValueError(f"view {name} is already taken by {views[name]}")
    views[name] = view


def status_section(name: str) -> Callable[[View], View]:
    """Return a decorator that adds a section to `/status`."""

    def decorate(view: View) -> View:
        _add(STATUS_SECTIONS, name, view)
        return view

    return decorate


def report_view(name: str) -> Callable[[View], View]:
    """Return a decorator that registers a whole report, for example `burn`."""

    def decorate(view: View) -> View:
        _add(REPORTS, name, view)
        return view

    return decorate


def explain_section(kind: str, section: str) -> Callable[[ExplainView], ExplainView]:
    """Return a decorator that adds a section to `/explain/<kind>/<name>`.

    The view returns None for a name that it does not know.
    """

    def decorate(view: ExplainView) -> ExplainView:
        _add(EXPLAIN_SECTIONS.setdefault(kind, {}), section, view)
        return view

    return decorate


def status(state: "HostState", now: float) -> dict[str, Any]:
    """Return the content of `/status`."""
    return {name: view(state, now) for name, view in STATUS_SECTIONS.items()}


def explain(
    state: "HostState", kind: str, name: str, now: float
) -> dict[str, Any] | None:
    """Return what the components know of an object; None if none knows it."""
    sections = {}
    for section, view in EXPLAIN_SECTIONS.get(kind, {}).items():
        content = view(state, name, now)
        if content is not None:
            sections[section] = content
    return sections or None
