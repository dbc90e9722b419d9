"""View of a whole fleet: which hosts have taken a change, and which differ."""

import asyncio
from collections import Counter
from pathlib import Path
from typing import Any

from jackdawsill.cli._client import HostAnswer, fetch_from_hosts
from jackdawsill.cli._errors import BadArgument

# Hosts that are asked at the same time.
MAX_CONCURRENT_HOSTS = 32
# Columns compared between hosts: heading -> section and key of the status.
COMPARED = {
    "routes": ("routes", "version"),
    "settings": ("settings", "digest"),
}
# Further columns, which differ from host to host.
SHOWN = {
    "routes_age_s": ("routes", "age_s"),
    "state_age_s": ("news", "age_s"),
    "store_too_long": ("process", "store_answers_too_long"),
    "applied_s": ("settings", "applied_s"),
    "file": ("settings", "file_digest"),
    "valid": ("settings", "file_valid"),
    "waiting": ("settings", "waiting"),
}


def read_hosts_file(path: str) -> list[str]:
    """Return the hosts of a file, one a line; `#` begins a comment.

    Raise BadArgument if the file cannot be read.
    """
    try:
        lines = Path(path).read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as exc:
        raise BadArgument(f"{path} cannot be read: {exc}") from None
    stripped = (line.partition("#")[0].strip() for line in lines)
    return [line for line in stripped if line]


async def fetch_in_batches(
    hosts: list[str], path: str, timeout_s: float
) -> list[HostAnswer]:
    """Fetch `path` from all hosts, from `MAX_CONCURRENT_HOSTS` at the same time."""
    waiting = list(enumerate(hosts))
    answers: dict[int, HostAnswer] = {}

    async def fetch_waiting() -> None:
        while waiting:
            index, host = waiting.pop(0)
            (answers[index],) = await fetch_from_hosts([host], path, timeout_s)

    await asyncio.gather(*(fetch_waiting() for _ in range(MAX_CONCURRENT_HOSTS)))
    return [answers[index] for index in range(len(hosts))]


def fleet_rows(answers: list[HostAnswer]) -> list[dict[str, Any]]:
    """Return a row for each host; `differs` names what the most hosts have otherwise.

    A host that did not answer has a row with its error. Of two values that equally
    many hosts have, the greater one counts as that of the fleet.
    """
    rows = []
    for answer in answers:
        row: dict[str, Any] = {"host": answer.host}
        if answer.error is not None:
            row["error"] = str(answer.error)
        else:
            columns = {**COMPARED, **SHOWN}
            row.update({name: _find(answer.answer, *columns[name]) for name in columns})
        rows.append(row)
    for name in COMPARED:
        counts = Counter(row[name] for row in rows if row.get(name) is not None)
        if not counts:
            continue
        common = max(counts, key=lambda value: (counts[value], value))
        for row in rows:
            if "error" not in row and row[name] != common:
                row.setdefault("differs", []).append(name)
    for row in rows:
        if row.get("valid") is False:
            row.setdefault("differs", []).append("valid")
        if row.get("waiting"):
            row.setdefault("differs", []).append("waiting")
    return rows


def render_fleet(rows: list[dict[str, Any]]) -> list[str]:
    """Return the lines of the table: a summary, then the hosts that differ first."""
    n_failed = sum("error" in row for row in rows)
    n_differing = sum("differs" in row for row in rows)
    lines = [f"{len(rows)} hosts, {n_differing} differ, {n_failed} did not answer"]
    order = sorted(rows, key=lambda row: ("differs" not in row, "error" not in row))
    for row in order:
        if "error" in row:
            lines.append(f"! {row['host']} no answer: {row['error']}")
            continue
        cells = [f"{name}={_cell(row[name])}" for name in (*COMPARED, *SHOWN)]
        mark = "*" if "differs" in row else " "
        differs = f" differs: {', '.join(row['differs'])}" if "differs" in row else ""
        lines.append(f"{mark} {row['host']} {' '.join(cells)}{differs}")
    return lines


def _find(status: Any, section: str, key: str) -> Any:
    """Return a value of the status, or None if the host does not state it."""
    values = status.get(section) if isinstance(status, dict) else None
    return values.get(key) if isinstance(values, dict) else None


def _cell(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return "-" if value is None else str(value)
