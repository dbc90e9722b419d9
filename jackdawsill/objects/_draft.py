"""Object set under check, with the place in the files of each object and key."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from jackdawsill.ini import suggest
from jackdawsill.objects._errors import ObjectProblem
from jackdawsill.objects._kinds import KINDS

# Each suggestion compares a name with up to thousands of others, and a missing file can
# leave thousands of dangling references, so their number is limited.
MAX_SUGGESTIONS = 20

ObjectId = tuple[str, str]  # kind, name


@dataclass(slots=True, frozen=True)
class Place:
    """File and line of an object, and lines of the keys that are present.

    For an object of a bundle, `file` is the key of its value and `line` is 0.
    """

    file: str
    line: int
    key_lines: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Draft:
    """Objects of a set before its check has finished, and the errors found."""

    tables: dict[str, dict[str, Any]] = field(
        default_factory=lambda: {kind: {} for kind in KINDS}
    )
    places: dict[ObjectId, Place] = field(default_factory=dict)
    # Keys whose value is a placeholder, because it is missing or could not be
    # converted. They cause no further errors.
    placeholder_keys: set[tuple[str, str, str]] = field(default_factory=set)
    problems: list[ObjectProblem] = field(default_factory=list)

    n_suggestions_left: int = MAX_SUGGESTIONS

    def suggest(self, name: str, known: Iterable[str]) -> str:
        """Return a hint at the most similar known name; "" after MAX_SUGGESTIONS."""
        if self.n_suggestions_left <= 0:
            return ""
        self.n_suggestions_left -= 1
        return suggest(name, known)

    def objects(self, kind: str) -> Iterable[Any]:
        """Return the objects of a kind."""
        return self.tables[kind].values()

    def has_placeholder(self, kind: str, name: str, *keys: str) -> bool:
        """Tell whether the value of one of the keys is a placeholder."""
        return any((kind, name, key) in self.placeholder_keys for key in keys)

    def add(
        self,
        error_type: type[ObjectProblem],
        message: str,
        kind: str,
        name: str,
        key: str = "",
    ) -> None:
        """Record an error unless the value of the key is a placeholder."""
        if (kind, name, key) in self.placeholder_keys:
            return
        place = self.places.get((kind, name)) or Place("", 0)
        line = place.key_lines.get(key, place.line)
        section = f"{kind} {name}"
        self.problems.append(
            error_type(message, file=place.file, line=line, section=section)
        )
