"""Walk from a request's id to its cause over log files."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from jackdawsill.cli._errors import FileNotRead

# Events that change what a host believes; they explain a decision that follows them.
BELIEF_EVENTS = frozenset(
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
# Beliefs are shown from this many lines before the first line of the request.
N_BELIEFS_BEFORE = 5


@dataclass(slots=True, frozen=True)
class LogLine:
    """One line of a host's log."""

    time: str
    host: str
    name: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Return the line for a person."""
        fields = {k: v for k, v in self.fields.items() if k != "host"}
        pairs = " ".join(f"{key}={value}" for key, value in fields.items())
        return f"{self.time} {self.host} {self.name} {pairs}"


def read_lines(path: Path) -> Iterator[LogLine]:
    """Yield the events of a log file; text before the first brace is skipped."""
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
                # Not an event: output of another program in the same file.
                continue
            if not isinstance(event, dict) or "fields" not in event:
                continue
            fields = event["fields"]
            host = str(fields.get("host", path.name))
            yield LogLine(
                str(event.get("time", "")), host, str(event.get("name")), fields
            )


def trace_request(request_id: str, paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of a request, and the beliefs that its hosts acted on."""
    found: list[LogLine] = []
    for path in paths:
        beliefs: dict[str, list[LogLine]] = {}
        for line in read_lines(path):
            if line.fields.get("request") == request_id:
                earlier = beliefs.pop(line.host, [])
                found += [*earlier, line]
            elif line.name in BELIEF_EVENTS:
                known = beliefs.setdefault(line.host, [])
                known.append(line)
                del known[:-N_BELIEFS_BEFORE]
    return sorted(found, key=lambda line: line.time)
