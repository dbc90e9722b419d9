"""Measure entry hosts over loopback HTTP; run by `make bench`.

`python -m benchmarks.fanout [--only NAMES] [--tree PATH] [--out FILE] [--seed N]
[--scale X]`

This process sends an open-loop load to three entry hosts, each in its own process, with
stand-in backend servers in two processes. `--tree PATH` also measures the hosts of
another checkout; some scenarios also measure a plain fan-out as a baseline.
"""

import json
import os
import platform
import sys
import time
from datetime import UTC, datetime
from typing import Any

import fire
import uvloop

from benchmarks import _control_scenarios  # noqa: F401  registers its scenarios
from benchmarks._scenarios import PLAIN_SCENARIOS, SCENARIOS, set_scale
from benchmarks._world import Variant

COLUMNS = (
    ("p50_ms", "p50 ms", "{:.0f}"),
    ("p99_ms", "p99 ms", "{:.0f}"),
    ("p999_ms", "p99.9 ms", "{:.0f}"),
    ("in_time", "in time", "{:.4f}"),
    ("shards_covered", "shards", "{:.4f}"),
    ("complete", "complete", "{:.4f}"),
    ("extra_load", "extra", "{:.4f}"),
    ("offered_per_s", "offered/s", "{:.0f}"),
    ("useful_per_s", "useful/s", "{:.0f}"),
    ("n_refused", "refused", "{}"),
    ("n_failed", "failed", "{}"),
    ("n_wrong", "wrong", "{}"),
    ("n_doubled", "doubled", "{}"),
    ("generator_cpu", "gen cpu", "{:.2f}"),
)
LABEL_WIDTH = 34


def format_header() -> str:
    """Return the header line of the table."""
    titles = (f"{title:>9}" for _, title, _ in COLUMNS)
    return f"{'scenario':<{LABEL_WIDTH}}" + "".join(titles)


def format_row(row: dict[str, Any]) -> str:
    """Return a row as a table line, or as key=value pairs if it has no latencies."""
    label = f"{row['scenario']} {row.get('part', '')} [{row['variant']}]"
    if "p50_ms" not in row:
        shown = {k: v for k, v in row.items() if k not in _LABELS}
        text = "  ".join(f"{key}={value}" for key, value in shown.items())
        return f"{label:<{LABEL_WIDTH}}  {text}"
    cells = (f"{form.format(row[key]):>9}" for key, _, form in COLUMNS)
    return f"{label:<{LABEL_WIDTH}}" + "".join(cells)


_LABELS = ("scenario", "part", "variant", "seed")


def variants(name: str, tree: str | None) -> list[Variant]:
    """Return the variants that a scenario measures."""
    found = [Variant("now")]
    if tree is not None:
        found.append(Variant("tree", os.path.abspath(tree)))
    if name in PLAIN_SCENARIOS:
        found.append(Variant("plain", is_plain=True))
    return found


async def measure(
    names: list[str], tree: str | None, seed: int, plain: bool
) -> list[dict[str, Any]]:
    """Run scenarios sequentially; print each row when it is measured."""
    print(format_header(), flush=True)
    rows: list[dict[str, Any]] = []
    for name in names:
        for variant in variants(name, tree):
            if variant.is_plain and not plain:
                continue
            for row in await SCENARIOS[name](variant, seed):
                row = {"scenario": name, "variant": variant.name, "seed": seed, **row}
                rows.append(row)
                print(format_row(row), flush=True)
    return rows


def main(
    only: str | tuple[str, ...] = "",
    tree: str | None = None,
    out: str | None = None,
    seed: int = 1,
    plain: bool = True,
    scale: float = 1.0,
) -> None:
    """Run all scenarios, or those named in `only`, separated by commas.

    `scale` multiplies the measuring times; the default set takes under 3 minutes.
    """
    set_scale(scale)
    chosen = only.split(",") if isinstance(only, str) else list(only)
    names = [name for name in chosen if name] or list(SCENARIOS)
    unknown = [name for name in names if name not in SCENARIOS]
    if unknown:
        raise SystemExit(f"unknown scenarios {unknown}; known: {list(SCENARIOS)}")
    started_at = time.monotonic()
    rows = uvloop.run(measure(names, tree, seed, plain))
    took_s = time.monotonic() - started_at
    print(f"{took_s:.0f} s; {os.cpu_count()} cores shared by all processes")
    if out is not None:
        report = {
            "command": " ".join(["python -m benchmarks.fanout", *sys.argv[1:]]),
            "date": datetime.now(UTC).isoformat(timespec="seconds"),
            "scale": scale,
            "cores": os.cpu_count(),
            "python": platform.python_version(),
            "took_s": round(took_s, 1),
            "rows": rows,
        }
        with open(out, "w", encoding="utf-8") as file:
            json.dump(report, file, indent=1)


if __name__ == "__main__":
    fire.Fire(main)
