"""Frame of a case: its record, its exit status, and the end of its processes."""

import asyncio
import json
import os
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_RUN_S = 115.0
# As in the settings of the smaller deployments.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_slack_ms": 250,
    "skew_max_ms": 12000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 104,
    "recovery_s": 12,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.started_at = time.monotonic()
        self.lines: list[dict[str, Any]] = []

    def add(self, what: str, **fields: Any) -> float:
        """Add a line and return its time."""
        at = time.monotonic() - self.started_at
        self.lines.append({"at": round(at, 4), "what": what, **fields})
        return at

    def save(self) -> None:
        """Write all lines."""
        text = "".join(json.dumps(line) + "\n" for line in self.lines)
        self.path.write_text(text)


def config(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with the services that the routes name."""
    names: set[str] = set()
    for route in routes:
        names.update(route.get("gather", ()))
        if "service" in route:
            names.add(route["service"])
    services = [
        {"name": name, "health_path": "/health", "max_conns": 50}
        for name in sorted(names)
    ]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
    }


def run_case(folder: Path, main: Callable[[Record, bool, list], Awaitable[bool]]):
    """Run a case and exit with its status.

    `main` gets the record, whether the disruption happens, and a list to which it adds
    what must be stopped at the end; it returns whether the rule was broken.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    started: list = []

    async def run() -> bool:
        # Connections that end with the case are no errors.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        task = asyncio.current_task()
        assert task is not None
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(MAX_RUN_S):
                return await main(record, has_trouble, started)
        finally:
            for process in started:
                process.stop()
            await asyncio.sleep(0.2)

    status = NOT_RUN
    try:
        status = BROKEN if asyncio.run(run()) else HELD
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
    finally:
        verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[status]
        record.add("verdict", rule=verdict, trouble=has_trouble)
        record.save()
    print(f"rule {verdict}, TROUBLE={int(has_trouble)}")
    sys.exit(status)
