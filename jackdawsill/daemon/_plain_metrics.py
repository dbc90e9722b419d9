"""Counters and summaries in memory, shown as Prometheus text."""

from jackdawsill.core import Count, Observe

Labels = tuple[tuple[str, str], ...]


class PlainMetrics:
    """Carry out `Count` and `Observe` without an exporter."""

    __slots__ = ("counts_", "sums_")

    def __init__(self) -> None:
        self.counts_: dict[tuple[str, Labels], float] = {}
        self.sums_: dict[tuple[str, Labels], list[float]] = {}

    def count(self, effect: Count) -> None:
        """Add to a counter."""
        key = (effect.name, effect.labels)
        self.counts_[key] = self.counts_.get(key, 0.0) + effect.value

    def observe(self, effect: Observe) -> None:
        """Add a value to a summary."""
        summary = self.sums_.setdefault((effect.name, effect.labels), [0.0, 0.0])
        summary[0] += 1
        summary[1] += effect.value

    def render(self) -> str:
        """Return all values, one a line."""
        lines = [
            f"{name}{_label_text(labels)} {value:g}"
            for (name, labels), value in sorted(self.counts_.items())
        ]
        for (name, labels), (n, total) in sorted(self.sums_.items()):
            lines.append(f"{name}_count{_label_text(labels)} {n:g}")
            lines.append(f"{name}_sum{_label_text(labels)} {total:g}")
        return "\n".join(lines) + "\n"


def _label_text(labels: Labels) -> str:
    """Return labels in braces, or nothing."""
    if not labels:
        return ""
    escaped = (
        (key, value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n"))
        for key, value in labels
    )
    return "{" + ",".join(f'{key}="{value}"' for key, value in escaped) + "}"
