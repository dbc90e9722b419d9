"""Search of log files for the lines of a request and the state behind them."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from jackdawsill.cli._errors import FileNotRead

# Log events that change the known state of a host, such as its replicas or routes. They
# explain the decisions that the host logs after them.
STATE_EVENTS = frozenset(
    {
        "gateway_phase",
        "gateway_reloaded",
        "gateway_started",
        "gateway_stopping",
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
# Maximum number of such lines shown before a line of the request.
N_STATE_LINES_BEFORE = 5


@dataclass(slots=True, frozen=True)
class LogLine:
    """One line of a host's log."""

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
    """Yield the events of a log file; text before the first brace of a line is skipped.

    Lines that are not events are skipped, too. Raise FileNotRead if the file cannot be
    read.
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
            if not isinstance(event, dict) or "fields" not in event:
                continue
            fields = event["fields"]
            host = str(fields.get("host", path.name))
            yield LogLine(
                str(event.get("time", "")), host, str(event.get("name")), fields
            )


def trace_request(request_id: str, paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of a request, and the state changes of its hosts before them.

    The lines of all files are sorted by time.
    """
    found: list[LogLine] = []
    for path in paths:
        state_lines: dict[str, list[LogLine]] = {}
        for line in read_lines(path):
            if line.fields.get("request") == request_id:
                earlier = state_lines.pop(line.host, [])
                found += [*earlier, line]
            elif line.name in STATE_EVENTS:
                recent = state_lines.setdefault(line.host, [])
                recent.append(line)
                del recent[:-N_STATE_LINES_BEFORE]
    return sorted(found, key=lambda line: line.time)
