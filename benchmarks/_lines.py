"""Lines fitted to measured costs, and the registry of measurements by role."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Line:
    """Cost of one quantity at several sizes, with a fitted line.

    `per` names the size, such as hosts; `runs` maps a size to the values of its runs.
    """

    quantity: str
    unit: str
    per: str
    runs: dict[float, list[float]] = field(default_factory=dict)
    # Least-squares fit to the minimum of the runs of each size.
    slope: float = 0.0
    intercept: float = 0.0
    residual: float = 0.0  # largest distance of a size from the line
    run_range: float = 0.0  # largest range of the runs of one size

    def add(self, size: float, value: float) -> None:
        """Record the value of one run at a size."""
        self.runs.setdefault(size, []).append(value)

    def fit(self) -> "Line":
        """Fit the line to the minima: other processes can only increase a cost."""
        sizes = sorted(self.runs)
        values = [min(self.runs[size]) for size in sizes]
        if len(sizes) == 1:
            self.intercept = values[0]
        else:
            line = statistics.linear_regression(sizes, values)
            self.slope, self.intercept = line.slope, line.intercept
        self.residual = max(
            abs(v - self.at(s)) for s, v in zip(sizes, values, strict=True)
        )
        self.run_range = max(max(runs) - min(runs) for runs in self.runs.values())
        return self

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.slope * size + self.intercept

    def format_line(self) -> str:
        """Return the fit and the minima as text."""
        sizes = ", ".join(f"{s:g}: {min(r):.4g}" for s, r in sorted(self.runs.items()))
        return (
            f"  {self.quantity}: {self.slope:.4g} x {self.per} + {self.intercept:.4g} "
            f"{self.unit}; residual {self.residual:.2g}, range {self.run_range:.2g} "
            f"({sizes})"
        )

    def as_dict(self) -> dict[str, Any]:
        """Return the line as plain data for JSON."""
        return {
            "quantity": self.quantity,
            "unit": self.unit,
            "per": self.per,
            "slope": self.slope,
            "intercept": self.intercept,
            "residual": self.residual,
            "run_range": self.run_range,
            "runs": {f"{size:g}": runs for size, runs in sorted(self.runs.items())},
        }


Measure = Callable[[], Iterable[Line]]

ROLES: dict[str, Measure] = {}


def role(name: str) -> Callable[[Measure], Measure]:
    """Return a decorator that registers the measurement of a role in `ROLES`.

    Raises ValueError if the role is already registered.
    """

    def decorate(measure: Measure) -> Measure:
        if name in ROLES:
            raise ValueError(f"the role {name} is already registered")
        ROLES[name] = measure
        return measure

    return decorate


def cpu_us(action: Callable[[], Any], n: int = 1) -> float:
    """Return the mean CPU time of `n` calls in microseconds."""
    gc.collect()
    started_at = time.process_time()
    for _ in range(n):
        action()
    return (time.process_time() - started_at) / n * 1e6


def retained_bytes(build: Callable[[], Any]) -> int:
    """Return the memory in bytes that the result of `build` retains, by tracemalloc."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    retained = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return after - before
