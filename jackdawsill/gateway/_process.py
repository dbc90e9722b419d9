"""One gateway process: servers, driver, and clients of replicas and the store."""

import asyncio
import random
import time
from collections.abc import Callable

from jackdawsill.core import (
    CloseLink,
    Count,
    Event,
    Exit,
    HostState,
    LogEvent,
    Observe,
    OpenLink,
    SendPeer,
    SetReadiness,
    StopRequested,
)
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.forwarding import (
    AbortAttempt,
    CallAbandoned,
    CallArrived,
    CheckStore,
    CloseCallerConnections,
    DelegationDeclined,
    DropIdleConnections,
    DropReplicaConnections,
    ForwardingPolicy,
    GatewayLifecycle,
    Headers,
    PassAnswer,
    RefuseCall,
    RejectWaiting,
    ReplicaConnected,
    ReplicaRefused,
    ReplicaRegistry,
    ReplicaUnreachable,
    RouteCatalog,
    SendAttempt,
    SendMerged,
    VerifyReplica,
    WarmReplicas,
    WithdrawUnsent,
)
from jackdawsill.gateway import _log_events as log_events
from jackdawsill.gateway._build import build_gateway_state, delegation_address
from jackdawsill.gateway._follower import StoreFollower
from jackdawsill.gateway._log_rate_limiter import LogRateLimiter
from jackdawsill.gateway._operator import OperatorServers
from jackdawsill.gateway._settings import GatewaySettings
from jackdawsill.gateway._store import BaseStore
from jackdawsill.http1 import (
    DELEGATION_ATTEMPTS,
    DELEGATION_DECLINED,
    DELEGATION_VERSION,
    BaseHeaderCodec,
    CallServer,
    OnRequest,
    RawRequest,
    ReplicaClient,
    end_to_end_headers,
    read_number,
)
from jackdawsill.relaying import FollowStore
from jackdawsill.runtime import (
    Driver,
    InternalFault,
    LinkSet,
    join_address,
    listening_socket,
    split_address,
)

# Time between two reports of suppressed log lines.
SUPPRESSED_REPORT_INTERVAL_S = 1.0
# Fraction of the process's memory that unfinished responses of replicas may take. The
# process itself needs about 40 MB, and complete responses take memory too.
RESPONSE_MEMORY_FRACTION = 0.125
BYTES_PER_MB = 1_000_000
# Interval of the check whether a stopping process still has callers' connections.
CLOSING_CHECK_INTERVAL_S = 0.02


def boot_clock() -> float:
    """Return monotonic seconds that include the time the machine is suspended.

    CLOCK_MONOTONIC stops while the machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class GatewayProcess:
    """Run one gateway in the current loop.

    Only `header_codec` (headers of callers and replicas) and `store` (client of the
    platform's store) are specific to the platform.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        header_codec: BaseHeaderCodec,
        store: BaseStore,
        rng: random.Random | None = None,
    ) -> None:
        self.cfg = cfg
        self.header_codec = header_codec
        self.rng = rng or random.Random()
        self.exited = asyncio.Event()
        self.callers_address = cfg.ports.callers
        self.state: HostState = build_gateway_state(cfg, self.rng)
        self.driver = Driver(self.state, boot_clock)
        self.driver.on_handler_failure = self._on_handler_failure
        self.caller_server = self._make_call_server(self._on_request)
        # Fan-outs that other hosts delegate to this one.
        self.delegation_server = self._make_call_server(self._on_delegated_request)
        self.replica_client = ReplicaClient(
            header_codec,
            self.driver.feed,
            self._on_connected,
            self._on_connect_failure,
            boot_clock,
            int(RESPONSE_MEMORY_FRACTION * cfg.host.memory_mb * BYTES_PER_MB),
            self.driver.feed,
        )
        self.log_limiter = LogRateLimiter()
        self._report_handle: asyncio.TimerHandle | None = None
        self._exit_task: asyncio.Task | None = None  # keeps it from being collected
        # Returns the status section "settings"; set by whoever reloads the settings.
        self.settings_status: Callable[[], dict[str, object]] = dict
        self.operator_servers = OperatorServers(
            self.state, self._status, self._on_operator_failure, boot_clock
        )
        self.links = LinkSet(self.driver)
        registry = self.state.component(ReplicaRegistry)
        self.store_follower = StoreFollower(
            store, self.driver.feed, lambda: registry.position_, self.rng, boot_clock
        )
        self._register_effect_handlers()

    async def start(self) -> None:
        """Open all ports and start the driver; raise OSError if a port is in use."""
        ports = self.cfg.ports
        await self.operator_servers.start(
            split_address(ports.health),
            (split_address(ports.callers)[0], self.cfg.metrics.port),
        )
        if ports.peers:
            await self.links.start(listening_socket(*split_address(ports.peers)))
        host, port = split_address(ports.callers)
        bound_port = await self.caller_server.start(host, port)
        self.callers_address = join_address(host, bound_port)
        address = delegation_address(self.cfg)
        if address:
            await self.delegation_server.start(*split_address(address))
        self.replica_client.start()
        self._report_suppressed()
        # After the peer port is open, so that hosts that start together can connect.
        self.driver.start()
        self.driver.log(
            log_events.GATEWAY_STARTED,
            callers=ports.callers,
            health=ports.health,
            peers=ports.peers,
            store=self.cfg.store.address,
        )

    def request_stop(self) -> None:
        """Begin a graceful stop; `exited` is set when it has ended."""
        self.driver.log(
            log_events.GATEWAY_STOPPING,
            n_calls=len(self.caller_server.connections_by_call_),
        )
        self.driver.feed(StopRequested())

    def stop(self) -> None:
        """Stop at once: close all connections and set `exited`."""
        if self.exited.is_set():
            return
        self.driver.stop()
        if self._report_handle is not None:
            self._report_handle.cancel()
        self.store_follower.stop()
        self.links.abort()
        self.caller_server.stop()
        self.delegation_server.stop()
        self.replica_client.stop()
        self.operator_servers.stop()
        self.driver.log(log_events.GATEWAY_STOPPED)
        self.exited.set()

    def _register_effect_handlers(self) -> None:
        self.driver.effect_handlers.update(
            {
                SendAttempt: self.replica_client.send,
                AbortAttempt: self.replica_client.abort,
                RejectWaiting: self.replica_client.reject_waiting,
                WithdrawUnsent: self.replica_client.withdraw,
                WarmReplicas: self.replica_client.warm,
                VerifyReplica: self.replica_client.verify,
                DropReplicaConnections: self.replica_client.close_idle,
                DropIdleConnections: self.replica_client.close_all_idle,
                CheckStore: self.store_follower.read_again,
                FollowStore: self.store_follower.follow,
                OpenLink: self.links.open,
                CloseLink: self.links.close,
                SendPeer: self.links.send,
                PassAnswer: self._send_answer,
                SendMerged: self._send_merged,
                RefuseCall: self._refuse,
                CloseCallerConnections: self._close_caller_connections,
                SetReadiness: self.operator_servers.set_readiness,
                Count: self.operator_servers.record,
                Observe: self.operator_servers.record,
                LogEvent: self._log,
                Exit: self._begin_exit,
            }
        )

    def _make_call_server(self, on_request: OnRequest) -> CallServer:
        catalog = self.state.component(RouteCatalog)
        return CallServer(
            on_request,
            self._on_caller_disconnected,
            lambda: catalog.limits,
            self.state.next_id,
            self._on_reject,
            boot_clock,
            self.cfg.host.max_connections,
            self._on_overflow,
        )

    def _reply(
        self, call_id: int, status: int, headers: Headers = (), body: bytes = b""
    ) -> None:
        """Reply on the server that received the request."""
        server = (
            self.delegation_server
            if call_id in self.delegation_server.connections_by_call_
            else self.caller_server
        )
        server.reply(call_id, status, headers, body)

    def _on_delegated_request(self, call_id: int, raw: RawRequest) -> None:
        """Handle a request that another host delegated to this one."""
        self._on_request(call_id, raw, is_delegated=True)

    def _on_request(
        self, call_id: int, raw: RawRequest, *, is_delegated: bool = False
    ) -> None:
        """Feed a request to the reducer, or reply 400 if its headers are invalid."""
        body = bytes(raw.body)
        try:
            req = self.header_codec.read_request(
                raw.method, raw.target, tuple(raw.headers), body
            )
        except ValueError as exc:
            self._on_reject(400, str(exc))
            self._reply(call_id, 400)
            return
        if not is_delegated:
            self.driver.feed(CallArrived(call_id, req))
            return
        headers = tuple(raw.headers)
        version = read_number(headers, DELEGATION_VERSION)
        n_attempts = read_number(headers, DELEGATION_ATTEMPTS) or 0
        self.driver.feed(CallArrived(call_id, req, True, version, n_attempts))

    def _on_caller_disconnected(self, call_id: int) -> None:
        self.driver.feed(CallAbandoned(call_id))

    def _on_reject(self, status: int, detail: str = "") -> None:
        labels = (("status", str(status)),)
        self.operator_servers.record(Count("gateway_requests_rejected", labels=labels))
        detail = detail[:200] or f"status {status}"
        self._log(LogEvent(log_events.BAD_CALL, {"detail": detail}))

    def _on_overflow(self) -> None:
        self.operator_servers.record(Count("gateway_connections_closed"))
        self._log(LogEvent(log_events.CONNECTION_CLOSED, {}))

    def _on_connected(self, replica: str, elapsed_s: float) -> None:
        self.driver.feed(ReplicaConnected(replica, elapsed_s))

    def _on_connect_failure(self, replica: str, is_refused: bool) -> None:
        event = ReplicaRefused if is_refused else ReplicaUnreachable
        self.driver.feed(event(replica))

    def _on_handler_failure(self, event: Event, error: InternalFault) -> None:
        """Reply 500 to a call whose `CallArrived` handler raised.

        No effect of the event was carried out, but what the handler changed may still
        lead to an attempt, so the status does not mean that the request has not run.
        """
        if isinstance(event, CallArrived):
            self._reply(event.call_id, 500)

    def _send_answer(self, effect: PassAnswer) -> None:
        answer = effect.answer
        headers = end_to_end_headers(answer.headers, self.header_codec.end_to_end)
        self._reply(effect.call_id, answer.status, headers, answer.body)

    def _send_merged(self, effect: SendMerged) -> None:
        headers = self.header_codec.merged_answer_headers(effect.answer)
        self._reply(effect.call_id, 200, headers, effect.answer.body)

    def _refuse(self, effect: RefuseCall) -> None:
        error: JackdawsillError = effect.error
        headers = ()
        if error.retry_after_ms is not None:
            seconds = f"{error.retry_after_ms / 1000:.3f}".encode()
            headers = ((b"Retry-After", seconds),)
        if isinstance(error, DelegationDeclined):
            version = self.state.component(RouteCatalog).version
            headers = (
                *headers,
                (DELEGATION_DECLINED, b"1"),
                (DELEGATION_VERSION, b"%d" % version),
            )
        text = f"{error}\n".encode()
        self._reply(effect.call_id, error.status, headers, text)

    def _log(self, effect: LogEvent) -> None:
        """Log an event within its rate limit."""
        if self.log_limiter.try_acquire(effect.number, self.driver.clock()):
            self.driver.log(effect.number, **effect.fields)

    def _report_suppressed(self) -> None:
        """Report suppressed lines, now and periodically."""
        for number, n_lines in self.log_limiter.take_suppressed().items():
            self.driver.log(log_events.LINES_SUPPRESSED, event=number, n=n_lines)
        loop = asyncio.get_running_loop()
        self._report_handle = loop.call_later(
            SUPPRESSED_REPORT_INTERVAL_S, self._report_suppressed
        )

    def _close_caller_connections(self, effect: CloseCallerConnections) -> None:
        self.caller_server.start_closing(idle_now=effect.idle_now)
        self.delegation_server.start_closing(idle_now=effect.idle_now)

    def _begin_exit(self, effect: Exit) -> None:
        """Stop once each caller has its whole reply, at the latest at the exit time."""
        self._exit_task = asyncio.get_running_loop().create_task(self._exit())

    async def _exit(self) -> None:
        """Serve open connections until they are closed.

        A reply may be partly unsent, and a request partly received, while no call is in
        progress.
        """
        servers = (self.caller_server, self.delegation_server)
        for server in servers:
            server.stop_listening()
        exit_at = self.state.component(GatewayLifecycle).exit_at(
            self.state.component(ForwardingPolicy).grace_s
        )
        while any(s.connections for s in servers) and self.driver.clock() < exit_at:
            for server in servers:
                server.start_closing(idle_now=True)
            await asyncio.sleep(CLOSING_CHECK_INTERVAL_S)
        self.stop()

    def _on_operator_failure(self, target: str, exc: Exception) -> None:
        self.driver.log(
            log_events.OPERATOR_REQUEST_FAILED,
            target=target[:100],
            detail=repr(exc)[:200],
        )

    def _status(self) -> dict[str, object]:
        """Return the status sections "process" and "settings"."""
        process = {
            "callers": len(self.caller_server.connections),
            "calls_waiting": len(self.caller_server.connections_by_call_),
            "replica_connections": self.replica_client.n_connections,
            "replica_bytes_held": self.replica_client.n_held_bytes_,
            "peer_bytes_sent": self.links.n_bytes_sent_,
            "peer_bytes_unsent": self.links.n_unsent_bytes,
            "store_answers_too_long": self.store_follower.n_answers_too_long_,
            "store_confirmed_at": self.store_follower.confirmed_at_,
        }
        return {"process": process, "settings": self.settings_status()}
