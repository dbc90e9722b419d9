"""One gateway process: its ports, its driver and its clients."""

import asyncio
import random
import time

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
    DropIdleConnections,
    DropReplicaConnections,
    Headers,
    PassAnswer,
    RefuseCall,
    ReplicaRefused,
    ReplicaRegistry,
    RouteCatalog,
    SendAttempt,
    SendMerged,
    WarmReplicas,
)
from jackdawsill.gateway import _log_events as log_events
from jackdawsill.gateway._build import build_gateway_state, inner_address
from jackdawsill.gateway._follower import StoreFollower
from jackdawsill.gateway._log_rate_limiter import LogRateLimiter
from jackdawsill.gateway._operator import OperatorServers
from jackdawsill.gateway._settings import GatewaySettings
from jackdawsill.gateway._store import BaseStore
from jackdawsill.http1 import (
    BaseHeaderCodec,
    CallServer,
    OnRequest,
    RawRequest,
    ReplicaClient,
    end_to_end_headers,
)
from jackdawsill.relaying import FollowStore, UpdateFeed
from jackdawsill.runtime import (
    Driver,
    InternalFault,
    LinkSet,
    join_address,
    listening_socket,
    split_address,
)

# How often lines that were left out are counted in the log.
SUPPRESSED_EVERY_S = 1.0


def boot_clock() -> float:
    """Return seconds that go on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class GatewayProcess:
    """Run one gateway in the current loop.

    `dialect` translates the headers of callers and replicas, `store` the platform's
    store; both are the only parts that know the platform.
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
        self.callers = self._call_server(self._on_request)
        # Fan-outs that other hosts give to this one.
        self.inner = self._call_server(self._on_delegated)
        self.replicas = ReplicaClient(
            header_codec,
            self.driver.feed,
            self._on_connected,
            lambda replica: self.driver.feed(ReplicaRefused(replica)),
            boot_clock,
        )
        self.log_limiter = LogRateLimiter()
        self._suppressed_at = 0.0
        self.operators = OperatorServers(self.state, self._status, boot_clock)
        self.links = LinkSet(self.driver)
        registry = self.state.component(ReplicaRegistry)
        self.follower = StoreFollower(
            store, self.driver.feed, lambda: registry.revision_, self.rng, boot_clock
        )
        self._register_actions()

    async def start(self) -> None:
        """Start the driver, open all ports and begin to follow the store."""
        ports = self.cfg.ports
        await self.operators.start(
            split_address(ports.health),
            (split_address(ports.callers)[0], self.cfg.metrics.port),
        )
        if ports.peers:
            await self.links.start(listening_socket(*split_address(ports.peers)))
        host, port = split_address(ports.callers)
        bound_port = await self.callers.start(host, port)
        self.callers_address = join_address(host, bound_port)
        inner = inner_address(self.cfg)
        if inner:
            await self.inner.start(*split_address(inner))
        self.replicas.start()
        # After the peers' port, so that hosts that start together find each other.
        self.driver.start()
        self.driver.log(
            log_events.GATEWAY_STARTED,
            callers=ports.callers,
            health=ports.health,
            peers=ports.peers,
            store=self.cfg.store.address,
        )

    def request_stop(self) -> None:
        """Ask for a graceful stop; `exited` is set at its end."""
        self.driver.log(
            log_events.GATEWAY_STOPPING, n_calls=len(self.callers.open_calls_)
        )
        self.driver.feed(StopRequested())

    def apply(self, cfg: GatewaySettings) -> None:
        """Apply changed settings: the seeds; all others hold for a process's life."""
        self.cfg = cfg
        self.state.component(UpdateFeed).seeds = cfg.store.seed_addresses()

    def stop(self) -> None:
        """Close everything."""
        if self.exited.is_set():
            return
        self.driver.stop()
        self.follower.stop()
        self.links.abort()
        self.callers.stop()
        self.inner.stop()
        self.replicas.stop()
        self.operators.stop()
        self.driver.log(log_events.GATEWAY_STOPPED)
        self.exited.set()

    def _register_actions(self) -> None:
        self.driver.effect_handlers.update(
            {
                SendAttempt: self.replicas.send,
                AbortAttempt: self.replicas.abort,
                WarmReplicas: self.replicas.warm,
                DropReplicaConnections: self.replicas.drop,
                DropIdleConnections: self.replicas.drop_all_idle,
                CheckStore: self.follower.check_now,
                FollowStore: self.follower.follow,
                OpenLink: self.links.open,
                CloseLink: self.links.close,
                SendPeer: self.links.send,
                PassAnswer: self._pass_answer,
                SendMerged: self._send_merged,
                RefuseCall: self._refuse,
                CloseCallerConnections: self._close_callers,
                SetReadiness: self.operators.set_readiness,
                Count: self.operators.record,
                Observe: self.operators.record,
                LogEvent: self._log,
                Exit: lambda effect: self.stop(),
            }
        )

    def _call_server(self, on_request: OnRequest) -> CallServer:
        catalog = self.state.component(RouteCatalog)
        return CallServer(
            on_request,
            self._on_gone,
            lambda: catalog.limits,
            self.state.next_id,
            self._on_reject,
            boot_clock,
        )

    def _reply(
        self, call_id: int, status: int, headers: Headers = (), body: bytes = b""
    ) -> None:
        """Reply on the server that read the request."""
        server = self.inner if call_id in self.inner.open_calls_ else self.callers
        server.reply(call_id, status, headers, body)

    def _on_delegated(self, call_id: int, raw: RawRequest) -> None:
        """Run a request that another host gave to this one."""
        self._on_request(call_id, raw, is_delegated=True)

    def _on_request(
        self, call_id: int, raw: RawRequest, *, is_delegated: bool = False
    ) -> None:
        """Turn a request into an event, or refuse it as not valid."""
        body = b"".join(raw.body)
        try:
            req = self.header_codec.read_request(
                raw.method, raw.target, tuple(raw.headers), body
            )
        except ValueError as exc:
            self.driver.log(log_events.BAD_CALL, detail=str(exc)[:200])
            self._reply(call_id, 400)
            return
        self.driver.feed(CallArrived(call_id, req, is_delegated))

    def _on_gone(self, call_id: int) -> None:
        self.driver.feed(CallAbandoned(call_id))

    def _on_reject(self, status: int) -> None:
        self.driver.log(log_events.BAD_CALL, detail=f"answered {status}")

    def _on_connected(self, replica: str, elapsed_s: float) -> None:
        self.state.component(ReplicaRegistry).on_connected(replica, elapsed_s)

    def _on_handler_failure(self, event: Event, error: InternalFault) -> None:
        """Answer a call whose handler failed; an attempt of it may be under way."""
        if isinstance(event, CallArrived):
            self._reply(event.call_id, 500)

    def _pass_answer(self, effect: PassAnswer) -> None:
        answer = effect.answer
        headers = end_to_end_headers(answer.headers)
        self._reply(effect.call_id, answer.status, headers, answer.body)

    def _send_merged(self, effect: SendMerged) -> None:
        headers = self.header_codec.merged_headers(effect.answer)
        self._reply(effect.call_id, 200, headers, effect.answer.body)

    def _refuse(self, effect: RefuseCall) -> None:
        error: JackdawsillError = effect.error
        headers = ()
        if error.retry_after_ms is not None:
            seconds = f"{error.retry_after_ms / 1000:.3f}".encode()
            headers = ((b"Retry-After", seconds),)
        text = f"{error}\n".encode()
        self._reply(effect.call_id, error.status, headers, text)

    def _log(self, effect: LogEvent) -> None:
        """Write a line within the bound, and say each second what was left out."""
        now = self.driver.clock()
        if self.log_limiter.allows(effect.number, now):
            self.driver.log(effect.number, **effect.fields)
        if now - self._suppressed_at < SUPPRESSED_EVERY_S:
            return
        self._suppressed_at = now
        for number, n_lines in self.log_limiter.take_suppressed().items():
            self.driver.log(log_events.LINES_SUPPRESSED, event=number, n=n_lines)

    def _close_callers(self, effect: CloseCallerConnections) -> None:
        self.callers.close_callers(idle_now=effect.idle_now)
        self.inner.close_callers(idle_now=effect.idle_now)

    def _status(self) -> dict[str, object]:
        """Return the process's own part of the status."""
        return {
            "callers": len(self.callers.connections),
            "calls_waiting": len(self.callers.open_calls_),
            "replica_connections": self.replicas.n_connections,
            "store_confirmed_at": self.follower.confirmed_at_,
        }
