"""HTTP servers for the health check, metrics and status of a gateway."""

from collections.abc import Callable
from typing import Any

import msgspec

from jackdawsill.core import (
    Count,
    HostState,
    Observe,
    SetReadiness,
    explain,
    status,
)
from jackdawsill.forwarding import CallerLimits
from jackdawsill.http1 import CallServer, RawRequest

TEXT_HEADERS = ((b"Content-Type", b"text/plain; version=0.0.4"),)
EXPLAIN_PREFIX = b"/explain/"
JSON_HEADERS = ((b"Content-Type", b"application/json"),)

# Buffered samples, of some hundred bytes each, at which they are recorded even if
# nobody reads the metrics.
MAX_BUFFERED_SAMPLES = 8192


class OperatorServers:
    """Two servers: health check for the load balancer; metrics and status.

    The health check has status 200 while the host is ready, else 503.
    `process_status` returns the sections of the status about the process. `on_failure`
    gets the target of a request that could not be handled, and the error.
    """

    def __init__(
        self,
        state: HostState,
        process_status: Callable[[], dict[str, Any]],
        on_failure: Callable[[str, Exception], None],
        clock: Callable[[], float],
    ) -> None:
        self.state = state
        self.process_status = process_status
        self.on_failure = on_failure
        self.clock = clock
        self.ready_ = False
        self.instruments_: Any = None
        self.buffered_samples_: list[Count | Observe] = []
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
        """Buffer a count or a value, and record all when the buffer is full."""
        self.buffered_samples_.append(effect)
        if len(self.buffered_samples_) >= MAX_BUFFERED_SAMPLES:
            self._record_buffered()

    def _record_buffered(self) -> Any:
        """Record the buffered samples and return the instruments.

        OpenTelemetry is imported here because its import takes longer than the rest
        of the start, and a host needs no memory for it before the first call.
        """
        if self.instruments_ is None:
            from jackdawsill.metrics import Instruments, MetricsSettings

            self.instruments_ = Instruments(MetricsSettings(host=self.state.name))
        buffered, self.buffered_samples_ = self.buffered_samples_, []
        for effect in buffered:
            if isinstance(effect, Count):
                self.instruments_.count(effect)
            else:
                self.instruments_.observe(effect)
        return self.instruments_

    def _make_server(self, on_request: Callable[[int, RawRequest], None]) -> CallServer:
        """Return a `CallServer`, used here as a plain HTTP server for operators."""
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

    def _read_status(self) -> dict[str, Any]:
        return status(self.state, self.clock()) | self.process_status()

    def _on_status_request(self, call_id: int, raw: RawRequest) -> None:
        try:
            self._reply_status(call_id, raw)
        except Exception as exc:
            # Any part of the host may have a section; the others are not affected.
            self.on_failure(raw.target.decode("latin-1"), exc)
            self.status_server.reply(call_id, 500)

    def _reply_status(self, call_id: int, raw: RawRequest) -> None:
        path = raw.target.partition(b"?")[0]
        if path == b"/metrics":
            # Imported here for the same reason as the instruments.
            from jackdawsill.gateway._state_metrics import render_state

            text = self._record_buffered().render() + render_state(self._read_status)
            self.status_server.reply(call_id, 200, TEXT_HEADERS, text.encode())
        elif path == b"/status":
            body = msgspec.json.encode(self._read_status())
            self.status_server.reply(call_id, 200, JSON_HEADERS, body)
        elif path.startswith(EXPLAIN_PREFIX):
            kind, _, name = path.removeprefix(EXPLAIN_PREFIX).partition(b"/")
            content = explain(
                self.state, kind.decode("latin-1"), name.decode("latin-1"), self.clock()
            )
            body = msgspec.json.encode(content)
            status_code = 404 if content is None else 200
            self.status_server.reply(call_id, status_code, JSON_HEADERS, body)
        else:
            self.status_server.reply(call_id, 404)
