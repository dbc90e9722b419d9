"""HTTP servers for the health check, metrics and status of a gateway."""

from collections.abc import Callable
from typing import Any

import msgspec

from jackdawsill.core import Count, HostState, Observe, SetReadiness, status
from jackdawsill.forwarding import CallerLimits
from jackdawsill.http1 import CallServer, RawRequest

TEXT_HEADERS = ((b"Content-Type", b"text/plain; version=0.0.4"),)
JSON_HEADERS = ((b"Content-Type", b"application/json"),)

# Counts and values buffered until the metrics are read; some hundred bytes each.
MAX_PENDING_SAMPLES = 8192


class OperatorServers:
    """Serve the health check on one port, and metrics and status on another.

    A load balancer reads the health check: 200 while the host is ready, else 503.
    `process_status` returns the section "process" of the status.
    """

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
        self.pending_samples_: list[Count | Observe] = []
        self.health_server = self._make_server(self._on_health_check)
        self.status_server = self._make_server(self._on_status_request)

    async def start(
        self, health_address: tuple[str, int], status_address: tuple[str, int]
    ) -> None:
        """Listen on both addresses, given as host and port."""
        await self.health_server.start(*health_address)
        await self.status_server.start(*status_address)

    def stop(self) -> None:
        """Close both ports."""
        self.health_server.stop()
        self.status_server.stop()

    def set_readiness(self, effect: SetReadiness) -> None:
        """Carry out `SetReadiness`."""
        self.ready_ = effect.ready

    def record(self, effect: Count | Observe) -> None:
        """Buffer a count or a value until the metrics are read."""
        self.pending_samples_.append(effect)
        if len(self.pending_samples_) >= MAX_PENDING_SAMPLES:
            self._record_pending()

    def _record_pending(self) -> Any:
        """Record the buffered samples and return the instruments.

        OpenTelemetry is imported here because its import takes longer than the rest
        of the start, and a host whose metrics nobody reads needs no memory for it.
        """
        if self.instruments_ is None:
            from jackdawsill.metrics import Instruments, MetricsSettings

            self.instruments_ = Instruments(MetricsSettings(host=self.state.name))
        pending, self.pending_samples_ = self.pending_samples_, []
        for effect in pending:
            if isinstance(effect, Count):
                self.instruments_.count(effect)
            else:
                self.instruments_.observe(effect)
        return self.instruments_

    def _make_server(self, on_request: Callable[[int, RawRequest], None]) -> CallServer:
        limits = CallerLimits()
        return CallServer(
            on_request,
            lambda call_id: None,
            lambda: limits,
            self.state.next_id,
            lambda status: None,
            self.clock,
        )

    def _on_health_check(self, call_id: int, raw: RawRequest) -> None:
        self.health_server.reply(call_id, 200 if self.ready_ else 503)

    def _on_status_request(self, call_id: int, raw: RawRequest) -> None:
        path = raw.target.partition(b"?")[0]
        if path == b"/metrics":
            body = self._record_pending().render().encode()
            self.status_server.reply(call_id, 200, TEXT_HEADERS, body)
        elif path == b"/status":
            sections = status(self.state, self.clock())
            sections["process"] = self.process_status()
            self.status_server.reply(
                call_id, 200, JSON_HEADERS, msgspec.json.encode(sections)
            )
        else:
            self.status_server.reply(call_id, 404)
