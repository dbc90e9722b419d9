"""Check of a whole object set."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from jackdawsill.objects import _set_rules, _value_rules
from jackdawsill.objects._advice import Advice, find_advice
from jackdawsill.objects._draft import Draft, ObjectId, Place
from jackdawsill.objects._errors import SetInvalid, SnapshotChanged
from jackdawsill.objects._kinds import KINDS
from jackdawsill.objects._model import ObjectSet
from jackdawsill.objects._read import read_directory
from jackdawsill.objects._rules import RULES
from jackdawsill.objects._values import encode_values, overall_digest

# Imported because they register their rules.
RULE_MODULES = (_value_rules, _set_rules)


@dataclass(slots=True)
class CheckedSet:
    """A valid set, the places of its objects, and warnings about it.

    Its generation is 0, because it is not published.
    """

    objects: ObjectSet
    places: dict[ObjectId, Place]
    advice: tuple[Advice, ...]


def check_draft(draft: Draft, subject: str) -> None:
    """Apply every rule; raise `SetInvalid` if the draft has any error."""
    for check in RULES:
        check(draft)
    if draft.problems:
        raise SetInvalid(subject, draft.problems)


def make_set(
    tables: dict[str, dict[str, Any]], generation: int, digest: str
) -> ObjectSet:
    """Return the object set of a checked draft's tables."""
    named = {spec.table: tables[kind] for kind, spec in KINDS.items()}
    return ObjectSet(generation, digest, **named)


def check_set(directory: str | os.PathLike[str]) -> CheckedSet:
    """Check the `*.ini` files of a directory; raise `SetInvalid` with all errors."""
    draft = read_directory(Path(directory))
    check_draft(draft, str(directory))
    digest = overall_digest(encode_values(draft.tables))
    objects = make_set(draft.tables, 0, digest)
    return CheckedSet(objects, draft.places, find_advice(objects, draft.places))


def check_change(published: ObjectSet, checked: CheckedSet) -> None:
    """Raise `SetInvalid` if a set changes a published snapshot.

    While both sets are in use, hosts would otherwise answer for one snapshot with
    different shard maps.
    """
    draft = Draft(places=checked.places)
    for name, snapshot in checked.objects.snapshots.items():
        known = published.snapshots.get(name)
        if known is not None and known != snapshot:
            message = (
                f"differs from the snapshot published in generation "
                f"{published.generation}; publish it under a new name and version"
            )
            draft.add(SnapshotChanged, message, "snapshot", name)
    if draft.problems:
        raise SetInvalid("changed set", draft.problems)
