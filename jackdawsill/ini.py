"""INI parser that records the line number of each section and key."""

import configparser
import difflib
import re
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from jackdawsill.exceptions import JackdawsillError

# Longest name for which a similar known name is searched. Known names are shorter, and
# the comparison is slow for long ones.
MAX_SUGGEST_CHARS = 100

_HEADER = re.compile(r"^\[([^\[\]]+)\]\s*(?:[#;].*)?$")
_NEWLINE = re.compile(r"\r\n|\n|\r")


class IniEntry(msgspec.Struct, frozen=True):
    """Value of a key and the line number of the key."""

    value: str
    line: int


class IniProblem(msgspec.Struct, frozen=True):
    """Syntax error, such as a line that is neither a header nor a key."""

    line: int
    message: str


class IniSection(msgspec.Struct):
    """Section of a file.

    `repeated` lists the key and line of each repetition; the last value is kept.
    """

    header: str
    line: int
    entries: dict[str, IniEntry] = {}
    repeated: list[tuple[str, int]] = []


class IniFile(msgspec.Struct):
    """Sections of a file, in order; equal headers are separate sections."""

    path: Path
    sections: list[IniSection] = []
    problems: list[IniProblem] = []


class _ReadPosition(msgspec.Struct):
    """Line and section that configparser reads now; `line` is 0 after the last line.

    `_numbered_headers` updates it before each line, so that the recording dict knows
    the line of each key that configparser sets.
    """

    line: int = 0
    section: IniSection = msgspec.field(default_factory=lambda: IniSection("", 0))

    def record_key(self, key: str) -> None:
        """Record the current line as the line of `key`."""
        if key in self.section.entries:
            self.section.repeated.append((key, self.line))
        # `parse_ini` fills in the value.
        self.section.entries[key] = IniEntry("", self.line)


def _recording_dict_type(position: _ReadPosition) -> type[dict]:
    """Return a dict type that records each key that configparser sets."""

    class RecordingDict(dict):
        def __setitem__(self, key: str, value: object) -> None:
            # While reading, configparser sets lists of lines; afterwards it replaces
            # them by joined strings, which are not recorded again.
            if position.line and isinstance(value, list):
                position.record_key(key)
            super().__setitem__(key, value)

    return RecordingDict


def _numbered_headers(
    text: str, position: _ReadPosition, result: IniFile
) -> Iterator[str]:
    """Yield the lines of a file with numbered section headers.

    Configparser merges sections with the same name and fails on keys before the first
    header. So each header is replaced by `[line number]`, which is unique, and `[0]` is
    put before the first line.
    """
    yield "[0]"
    for position.line, line in enumerate(_NEWLINE.split(text), start=1):
        match = _HEADER.match(line.lstrip())
        if not match and not line.startswith("["):
            # A key, comment or continuation line. A continuation is indented and may
            # begin with `[`, such as the IPv6 address `[::1]:7000`.
            yield line
            continue
        position.section = IniSection(match[1].strip() if match else "", position.line)
        if match:
            result.sections.append(position.section)
        else:
            message = f"{line!r} is not a section header [kind name]"
            result.problems.append(IniProblem(position.line, message))
        yield f"[{position.line}]"
    position.line = 0


def parse_ini(text: str, path: Path) -> IniFile:
    """Parse INI text; syntax errors are collected in `problems`."""
    result = IniFile(path)
    position = _ReadPosition()
    preamble = position.section  # keys before the first header
    parser = configparser.RawConfigParser(
        dict_type=_recording_dict_type(position),
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        strict=False,
        empty_lines_in_values=False,
        default_section="\0",  # no section is special, not even [DEFAULT]
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_file(_numbered_headers(text, position, result))
    except configparser.ParsingError as exc:
        for line, content in exc.errors:
            message = f"{content} is neither a section header nor `key = value`"
            # The header `[0]` is line 1 for configparser.
            result.problems.append(IniProblem(line - 1, message))
    for entry in preamble.entries.values():
        result.problems.append(
            IniProblem(entry.line, "key before the first section header")
        )
    for header in parser.sections():
        # Configparser accepts headers that are left unchanged, such as ` [a]b`.
        if not header.isdecimal():
            line = text[: text.index(f"[{header}]")].count("\n") + 1
            message = f"[{header}] is not a section header"
            result.problems.append(IniProblem(line, message))
    for section in result.sections:
        for key, value in parser.items(str(section.line)):
            section.entries[key] = IniEntry(value, section.entries[key].line)
    result.problems.sort(key=lambda problem: problem.line)
    return result


def read_ini(path: Path) -> IniFile:
    """Read a UTF-8 INI file; an unreadable file is reported as a problem."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        problem = IniProblem(1, f"the file cannot be read: {exc.strerror or exc}")
        return IniFile(path, problems=[problem])
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as exc:
        line = data.count(b"\n", 0, exc.start) + 1
        return IniFile(path, problems=[IniProblem(line, "the file is not UTF-8 text")])
    return parse_ini(text, path)


def one_line(text: str) -> str:
    """Return text with line breaks and other unprintable characters escaped."""
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else ascii(c)[1:-1] for c in text)


def suggest(name: str, known: Iterable[str]) -> str:
    """Return `; did you mean X?` for the closest known name, or an empty string."""
    if len(name) > MAX_SUGGEST_CHARS:
        return ""
    lowered = {entry.lower(): entry for entry in known}
    nearest = difflib.get_close_matches(name.lower(), lowered, n=1, cutoff=0.6)
    return f"; did you mean {lowered[nearest[0]]!r}?" if nearest else ""


class IniError(JackdawsillError):
    """Error at a line of an INI file; `section` is the header without brackets."""

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
    """All errors of one check, sorted by file and line in `problems`."""

    def __init__(self, subject: str, problems: Iterable[IniError]) -> None:
        self.problems = tuple(sorted(problems, key=lambda p: (p.file, p.line)))
        n_problems = len(self.problems)
        plural = "" if n_problems == 1 else "s"
        super().__init__(f"{subject} has {n_problems} error{plural}")
