"""A set of objects that is being checked, with the place of each object and key."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from jackdawsill.ini import suggest
from jackdawsill.objects._errors import ObjectProblem
from jackdawsill.objects._kinds import KINDS

# Each suggestion compares a name with up to thousands of others, and a missing file
# can leave thousands of references dangling.
MAX_SUGGESTIONS = 20

ObjectId = tuple[str, str]  # kind, name


@dataclass(slots=True, frozen=True)
class Place:
    """Where an object was read; keys that were absent have no line."""

    file: str
    line: int
    key_lines: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Draft:
    """Objects of one set before the set is known to be valid."""

    tables: dict[str, dict[str, Any]] = field(
        default_factory=lambda: {kind: {} for kind in KINDS}
    )
    places: dict[ObjectId, Place] = field(default_factory=dict)
    # Keys whose value could not be converted; rules do not judge their
    # placeholders.
    bad_keys: set[tuple[str, str, str]] = field(default_factory=set)
    problems: list[ObjectProblem] = field(default_factory=list)

    suggestions_left: int = MAX_SUGGESTIONS

    def suggest(self, name: str, known: Iterable[str]) -> str:
        """Return a hint at the nearest known name while the budget lasts."""
        if self.suggestions_left <= 0:
            return ""
        self.suggestions_left -= 1
        return suggest(name, known)

    def objects(self, kind: str) -> Iterable[Any]:
        """Return the objects of a kind."""
        return self.tables[kind].values()

    def is_bad(self, kind: str, name: str, *keys: str) -> bool:
        """Tell whether one of the keys could not be converted."""
        return any((kind, name, key) in self.bad_keys for key in keys)

    def add(
        self,
        error_type: type[ObjectProblem],
        message: str,
        kind: str,
        name: str,
        key: str = "",
    ) -> None:
        """Record an error unless the key is already known to be bad."""
        if (kind, name, key) in self.bad_keys:
            return
        place = self.places.get((kind, name)) or Place("", 0)
        line = place.key_lines.get(key, place.line)
        section = f"{kind} {name}"
        self.problems.append(
            error_type(message, file=place.file, line=line, section=section)
        )
