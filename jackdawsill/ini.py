"""INI files read with the line of each section and key."""

import configparser
import difflib
import re
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from jackdawsill.exceptions import JackdawsillError

# Longer names are no misspelt names, and comparing them is slow.
MAX_SUGGEST_CHARS = 100

_HEADER = re.compile(r"^\[([^\[\]]+)\]\s*(?:[#;].*)?$")
_NEWLINE = re.compile(r"\r\n|\n|\r")


class IniEntry(msgspec.Struct, frozen=True):
    """Value of one key and the line of the key."""

    value: str
    line: int


class IniProblem(msgspec.Struct, frozen=True):
    """Fault of the file itself, such as a line that is neither header nor key."""

    line: int
    message: str


class IniSection(msgspec.Struct):
    """One section; a key given twice keeps its last value."""

    header: str
    line: int
    entries: dict[str, IniEntry] = {}
    repeated: list[tuple[str, int]] = []


class IniFile(msgspec.Struct):
    """Sections of a file in order; equal headers stay separate sections."""

    path: Path
    sections: list[IniSection] = []
    problems: list[IniProblem] = []


class _Position(msgspec.Struct):
    """Where configparser is reading; `line` is 0 after the last line."""

    line: int = 0
    section: IniSection = msgspec.field(default_factory=lambda: IniSection("", 0))

    def record(self, key: str) -> None:
        """Note the line of a key that configparser sets now."""
        if key in self.section.entries:
            self.section.repeated.append((key, self.line))
        self.section.entries[key] = IniEntry("", self.line)


def _recording_dict(position: _Position) -> type[dict]:
    """Return a dict type for configparser that reports each key set."""

    class RecordingDict(dict):
        def __setitem__(self, key: str, value: object) -> None:
            # Values are lists of lines while lines are read; afterwards, joined
            # strings replace them.
            if position.line and isinstance(value, list):
                position.record(key)
            super().__setitem__(key, value)

    return RecordingDict


def _numbered(text: str, position: _Position, result: IniFile) -> Iterator[str]:
    """Yield lines in which each header is replaced by its line number.

    Configparser merges sections of one name and stops at a key without a section;
    unique headers and a first header of line 0 avoid both.
    """
    yield "[0]"
    for position.line, line in enumerate(_NEWLINE.split(text), start=1):
        match = _HEADER.match(line.lstrip())
        if not match and not line.startswith("["):
            # Covers continuation lines such as the IPv6 address `[::1]:7000`.
            yield line
            continue
        position.section = IniSection(match[1].strip() if match else "", position.line)
        if match:
            result.sections.append(position.section)
        else:
            message = f"{line!r} is no section header [kind name]"
            result.problems.append(IniProblem(position.line, message))
        yield f"[{position.line}]"
    position.line = 0


def parse_ini(text: str, path: Path) -> IniFile:
    """Parse INI text; faults of syntax are collected in `problems`."""
    result = IniFile(path)
    position = _Position()
    preamble = position.section
    parser = configparser.RawConfigParser(
        dict_type=_recording_dict(position),
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        strict=False,
        empty_lines_in_values=False,
        default_section="\0",
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_file(_numbered(text, position, result))
    except configparser.ParsingError as exc:
        for line, content in exc.errors:
            message = f"{content} is neither a section header nor `key = value`"
            # Line 1 of configparser is the header of line 0.
            result.problems.append(IniProblem(line - 1, message))
    for entry in preamble.entries.values():
        result.problems.append(IniProblem(entry.line, "key outside any section"))
    for header in parser.sections():
        if not header.isdecimal():
            line = text[: text.index(f"[{header}]")].count("\n") + 1
            message = f"[{header}] is no section header"
            result.problems.append(IniProblem(line, message))
    for section in result.sections:
        for key, value in parser.items(str(section.line)):
            section.entries[key] = IniEntry(value, section.entries[key].line)
    result.problems.sort(key=lambda problem: problem.line)
    return result


def read_ini(path: Path) -> IniFile:
    """Read an INI file in UTF-8; an unreadable file is a problem of line 1."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        problem = IniProblem(1, f"cannot be read: {exc.strerror or exc}")
        return IniFile(path, problems=[problem])
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as exc:
        line = data.count(b"\n", 0, exc.start) + 1
        return IniFile(path, problems=[IniProblem(line, "is not UTF-8 text")])
    return parse_ini(text, path)


def one_line(text: str) -> str:
    """Return text whose control characters and line breaks are escaped."""
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else ascii(c)[1:-1] for c in text)


def suggest(name: str, known: Iterable[str]) -> str:
    """Return `; did you mean X?` for the nearest known name, or nothing."""
    if len(name) > MAX_SUGGEST_CHARS:
        return ""
    lowered = {entry.lower(): entry for entry in known}
    nearest = difflib.get_close_matches(name.lower(), lowered, n=1, cutoff=0.6)
    return f"; did you mean {lowered[nearest[0]]!r}?" if nearest else ""


class IniError(JackdawsillError):
    """Error at a line of a file; `section` is the header without brackets."""

    def __init__(
        self, message: str, *, file: str = "", line: int = 0, section: str = ""
    ) -> None:
        super().__init__(one_line(message))
        self.file = file
        self.line = line
        self.section = one_line(section)

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}: [{self.section}]"
        return f"{place} {self.code_text} {self.message}"


class IniErrors(JackdawsillError):
    """All errors of one check, ordered by file and line."""

    def __init__(self, subject: str, problems: Iterable[IniError]) -> None:
        self.problems = tuple(sorted(problems, key=lambda p: (p.file, p.line)))
        n_problems = len(self.problems)
        plural = "" if n_problems == 1 else "s"
        super().__init__(f"{subject} has {n_problems} error{plural}")
