"""Creation and shutdown of the metrics instruments."""

import asyncio
import contextlib
import threading

from jackdawsill.core import Count, Observe
from jackdawsill.metrics import Instruments
from jackdawsill.metrics import MetricsMode as ExportMode
from jackdawsill.metrics import MetricsSettings as ExportSettings
from jackdawsill.settings import MetricsMode, Settings

# Bounds the delay of the process exit by an endpoint that does not answer.
CLOSE_TIMEOUT_S = 2.0


class NoMetrics:
    """Instruments that discard all metrics, for `mode = off`."""

    __slots__ = ()

    def count(self, effect: Count) -> None:
        """Discard a count."""

    def observe(self, effect: Observe) -> None:
        """Discard a value."""

    def render(self) -> str:
        """Return an empty text."""
        return ""

    def close(self) -> None:
        """Do nothing."""


def make_metrics(cfg: Settings) -> Instruments | NoMetrics:
    """Return the instruments for the configured mode."""
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
    """Push the remaining metrics and close the instruments.

    Closing blocks, so it runs in a thread and is awaited for `CLOSE_TIMEOUT_S` at most.
    """
    loop = asyncio.get_running_loop()
    done = asyncio.Event()

    def close() -> None:
        try:
            metrics.close()
        finally:
            # After the timeout the loop may already be closed.
            with contextlib.suppress(RuntimeError):
                loop.call_soon_threadsafe(done.set)

    threading.Thread(target=close, name="metrics-close", daemon=True).start()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await done.wait()
