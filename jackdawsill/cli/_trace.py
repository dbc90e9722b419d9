"""Search of log files for a request, and for the state changes logged before it."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from jackdawsill.cli._errors import FileNotRead

# Log events that report a change of the known state of a gateway: its replicas, routes,
# store or phase. They explain the decisions that it logs after them.
STATE_EVENTS = frozenset(
    {
        "gateway_phase",
        "gateway_reloaded",
        "gateway_started",
        "gateway_stopping",
        "limit_changed",
        "loop-lagged",
        "news_source",
        "pause_noticed",
        "relay_lost",
        "replica_backed_off",
        "replicas_changed",
        "replicas_expired",
        "replicas_listed",
        "routes_accepted",
        "store_lost",
        "store_regained",
    }
)
# Fields that name the request of an event: of a gateway, and of a host's queries.
REQUEST_FIELDS = ("request", "request_id")
# Maximum number of state changes shown for a line of the request: the last ones of its
# host since the previous line.
MAX_STATE_LINES = 5


@dataclass(slots=True, frozen=True)
class LogLine:
    """One log event of a host.

    `time` is sorted as text, and `host` is the file name if the event names no host.
    """

    time: str
    host: str
    name: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Return the line as readable text."""
        fields = {k: v for k, v in self.fields.items() if k != "host"}
        pairs = " ".join(f"{key}={value}" for key, value in fields.items())
        return f"{self.time} {self.host} {self.name} {pairs}"


def read_lines(path: Path) -> Iterator[LogLine]:
    """Yield the log events of a file; other lines are skipped.

    Any text before the first brace of a line is skipped, too. Raise FileNotRead if the
    file cannot be read.
    """
    try:
        file = path.open(encoding="utf-8", errors="replace")
    except OSError as exc:
        raise FileNotRead(f"{path}: {exc.strerror or exc}") from exc
    with file:
        for raw in file:
            start = raw.find("{")
            if start < 0:
                continue
            try:
                event = json.loads(raw[start:])
            except ValueError:
                # Output of another program in the same file.
                continue
            fields = event.get("fields") if isinstance(event, dict) else None
            if not isinstance(fields, dict):
                continue
            host = str(fields.get("host", path.name))
            yield LogLine(
                str(event.get("time", "")), host, str(event.get("name")), fields
            )


def trace_request(request_id: str, paths: Iterable[Path]) -> list[LogLine]:
    """Return the events that name a request, and the state changes before them.

    The lines of all files are sorted by time.
    """
    found: list[LogLine] = []
    for path in paths:
        state_lines: dict[str, list[LogLine]] = {}
        for line in read_lines(path):
            if request_id in (line.fields.get(key) for key in REQUEST_FIELDS):
                earlier = state_lines.pop(line.host, [])
                found += [*earlier, line]
            elif line.name in STATE_EVENTS:
                recent = state_lines.setdefault(line.host, [])
                recent.append(line)
                del recent[:-MAX_STATE_LINES]
    return sorted(found, key=lambda line: line.time)
