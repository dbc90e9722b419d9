"""Health check, metrics and status of a gateway."""

from collections.abc import Callable
from typing import Any

import msgspec

from jackdawsill.core import Count, HostState, Observe, SetReadiness, status
from jackdawsill.forwarding import CallerLimits
from jackdawsill.http1 import CallServer, RawRequest

TEXT = ((b"Content-Type", b"text/plain; version=0.0.4"),)
JSON = ((b"Content-Type", b"application/json"),)

# Counts and values kept until the metrics are read; some hundred bytes each.
MAX_PENDING = 8192


class OperatorServers:
    """Answer the balancer's health check, and serve metrics and status."""

    def __init__(
        self,
        state: HostState,
        process_status: Callable[[], dict[str, Any]],
        clock: Callable[[], float],
    ) -> None:
        self.state = state
        self.process_status = process_status
        self.clock = clock
        self.ready_ = False
        self.instruments_: Any = None
        self.pending_: list[Count | Observe] = []
        self.health = self._server(self._on_health)
        self.views = self._server(self._on_view)

    async def start(self, health: tuple[str, int], views: tuple[str, int]) -> None:
        """Listen on both addresses."""
        await self.health.start(*health)
        await self.views.start(*views)

    def stop(self) -> None:
        """Close both ports."""
        self.health.stop()
        self.views.stop()

    def set_readiness(self, effect: SetReadiness) -> None:
        """Carry out `SetReadiness`."""
        self.ready_ = effect.ready

    def record(self, effect: Count | Observe) -> None:
        """Keep a count or a value until the metrics are read."""
        self.pending_.append(effect)
        if len(self.pending_) >= MAX_PENDING:
            self._flush()

    def _flush(self) -> Any:
        """Return the instruments with all that was recorded.

        OpenTelemetry is imported here: its import takes longer than the rest of the
        start, and a host whose metrics nobody reads needs no memory for it.
        """
        if self.instruments_ is None:
            from jackdawsill.metrics import Instruments, MetricsSettings

            self.instruments_ = Instruments(MetricsSettings(host=self.state.name))
        pending, self.pending_ = self.pending_, []
        for effect in pending:
            if isinstance(effect, Count):
                self.instruments_.count(effect)
            else:
                self.instruments_.observe(effect)
        return self.instruments_

    def _server(self, on_request: Callable[[int, RawRequest], None]) -> CallServer:
        limits = CallerLimits()
        return CallServer(
            on_request,
            lambda call_id: None,
            lambda: limits,
            self.state.next_id,
            lambda status: None,
            self.clock,
        )

    def _on_health(self, call_id: int, raw: RawRequest) -> None:
        self.health.reply(call_id, 200 if self.ready_ else 503)

    def _on_view(self, call_id: int, raw: RawRequest) -> None:
        path = raw.target.partition(b"?")[0]
        if path == b"/metrics":
            body = self._flush().render().encode()
            self.views.reply(call_id, 200, TEXT, body)
        elif path == b"/status":
            sections = status(self.state, self.clock())
            sections["process"] = self.process_status()
            self.views.reply(call_id, 200, JSON, msgspec.json.encode(sections))
        else:
            self.views.reply(call_id, 404)
