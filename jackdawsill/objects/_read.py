"""Read the INI files of a directory into a draft of a set."""

import re
from pathlib import Path
from typing import Any

from jackdawsill.ini import IniFile, IniSection, read_ini
from jackdawsill.objects._draft import Draft, Place
from jackdawsill.objects._errors import (
    BadHeader,
    DuplicateKey,
    DuplicateObject,
    EmptySet,
    MissingKey,
    ObjectProblem,
    UnknownKey,
    UnknownKind,
    UnreadableFile,
    WrongType,
)
from jackdawsill.objects._kinds import KINDS, KindSpec

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NAME_SYNTAX = (
    "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
)


def _build(draft: Draft, spec: KindSpec, name: str, section: IniSection) -> Any:
    """Return the object of a section; bad or missing values become placeholders."""
    values = {"name": name}
    for key, line in section.repeated:
        draft.problems.append(
            DuplicateKey(
                f"key {key!r} is given twice",
                file=draft.places[spec.kind, name].file,
                line=line,
                section=section.header,
            )
        )
    for key, entry in section.entries.items():
        key_spec = spec.keys.get(key)
        if key_spec is None:
            message = f"unknown key {key!r}{draft.suggest(key, spec.keys)}"
            draft.add(UnknownKey, message, spec.kind, name, key)
            continue
        try:
            values[key_spec.attribute] = key_spec.converter.convert(entry.value)
        except ValueError as exc:
            # Added before the key is marked, because `add` ignores marked keys.
            draft.add(WrongType, f"{key}: {exc}", spec.kind, name, key)
            draft.placeholder_keys.add((spec.kind, name, key))
            values[key_spec.attribute] = key_spec.converter.placeholder
    for key, key_spec in spec.keys.items():
        if key_spec.required and key not in section.entries:
            draft.add(MissingKey, f"key {key!r} is missing", spec.kind, name)
            draft.placeholder_keys.add((spec.kind, name, key))
            values[key_spec.attribute] = key_spec.converter.placeholder
    return spec.object_type(**values)


def _read_section(draft: Draft, file: str, section: IniSection) -> None:
    """Add the object of one section to the draft."""

    def report(error_type: type[ObjectProblem], message: str) -> None:
        draft.problems.append(
            error_type(message, file=file, line=section.line, section=section.header)
        )

    words = section.header.split()
    spec = KINDS.get(words[0]) if words else None
    if spec is None:
        hint = draft.suggest(words[0], KINDS) if words else ""
        report(UnknownKind, f"unknown kind{hint}")
        return
    if len(words) != 2 or not NAME_PATTERN.fullmatch(words[1]):
        report(BadHeader, f"header must be [{spec.kind} NAME]; NAME is {NAME_SYNTAX}")
        return
    name = words[1]
    known = draft.places.get((spec.kind, name))
    if known is not None:
        report(DuplicateObject, f"also defined at {known.file}:{known.line}")
        return
    key_lines = {key: entry.line for key, entry in section.entries.items()}
    draft.places[spec.kind, name] = Place(file, section.line, key_lines)
    draft.tables[spec.kind][name] = _build(draft, spec, name, section)


def read_directory(directory: Path) -> Draft:
    """Return a draft with the objects of all `*.ini` files, read in order of name."""
    draft = Draft()
    paths = sorted(path for path in directory.glob("*.ini") if not path.is_dir())
    for path in paths:
        ini_file: IniFile = read_ini(path)
        for problem in ini_file.problems:
            draft.problems.append(
                UnreadableFile(problem.message, file=str(path), line=problem.line)
            )
        for section in ini_file.sections:
            _read_section(draft, str(path), section)
    if not directory.is_dir():
        message = "is not a readable directory"
        draft.problems.append(UnreadableFile(message, file=str(directory), line=0))
    elif not draft.places and not draft.problems:
        message = "no objects in *.ini files of the directory"
        draft.problems.append(EmptySet(message, file=str(directory), line=0))
    return draft
