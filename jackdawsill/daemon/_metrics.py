"""Choice of the metrics exporter, and its end."""

import asyncio
import contextlib
import threading

from jackdawsill.core import Count, Observe
from jackdawsill.metrics import Instruments
from jackdawsill.metrics import MetricsMode as ExportMode
from jackdawsill.metrics import MetricsSettings as ExportSettings
from jackdawsill.settings import MetricsMode, Settings

# An endpoint that does not answer must not delay the end of the process.
CLOSE_LIMIT_S = 2.0


class NoMetrics:
    """Drop all metrics, for `mode = off`."""

    __slots__ = ()

    def count(self, effect: Count) -> None:
        """Drop a count."""

    def observe(self, effect: Observe) -> None:
        """Drop a value."""

    def render(self) -> str:
        """Return no metrics."""
        return ""

    def close(self) -> None:
        """End nothing."""


def make_metrics(cfg: Settings) -> Instruments | NoMetrics:
    """Return the exporter that the settings ask for."""
    metrics = cfg.metrics
    if metrics.mode is MetricsMode.OFF:
        return NoMetrics()
    return Instruments(
        ExportSettings(
            mode=ExportMode(metrics.mode.value),
            push_url=metrics.push_url or "",
            push_interval_s=metrics.push_interval_s,
            host=cfg.host.name,
        )
    )


async def close_metrics(metrics: Instruments | NoMetrics) -> None:
    """Push what is left, in a thread since the exporter blocks."""
    loop = asyncio.get_running_loop()
    done = asyncio.Event()

    def close() -> None:
        try:
            metrics.close()
        finally:
            # The loop is closed if the limit was reached meanwhile.
            with contextlib.suppress(RuntimeError):
                loop.call_soon_threadsafe(done.set)

    threading.Thread(target=close, name="metrics-close", daemon=True).start()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CLOSE_LIMIT_S):
            await done.wait()
