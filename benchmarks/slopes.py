"""Measure the cost of each role of a host at several sizes and fit lines.

`python -m benchmarks.slopes [--out FILE] [--only ROLE]` prints for each quantity the
slope, the intercept, the residual (largest distance of a size from the line) and the
range (largest range of repeated runs of one size). CPU is process time; bytes are those
of msgpack frames or, for memory, those that tracemalloc counts.
"""

import json
import os
import platform
import sys
import time

import fire

from benchmarks import control_slopes, data_slopes, part_slopes  # noqa: F401
from benchmarks._lines import ROLES


def main(out: str = "", only: str = "") -> None:
    """Print the lines of all roles, or of role `only`; write them to file `out`."""
    command = "python -m benchmarks.slopes" + (f" --only {only}" if only else "")
    print(
        f"{command} on {os.cpu_count()} cores, Python {platform.python_version()}, "
        f"load {os.getloadavg()[0]:.1f}"
    )
    roles = {}
    for name, measure in ROLES.items():
        if only and name != only:
            continue
        started_at = time.perf_counter()
        lines = [line.fit() for line in measure()]
        print(f"{name} ({time.perf_counter() - started_at:.1f} s)")
        for line in lines:
            print(line.format_line(), flush=True)
        roles[name] = [line.as_dict() for line in lines]
    if not roles:
        sys.exit(f"unknown role {only}; known roles: {', '.join(ROLES)}")
    if out:
        content = {"command": command, "load": os.getloadavg(), "roles": roles}
        with open(out, "w", encoding="utf-8") as file:
            json.dump(content, file, indent=1)


if __name__ == "__main__":
    fire.Fire(main)
