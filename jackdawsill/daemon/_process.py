"""One host: its ports, driver and clients."""

import asyncio
import random
from typing import Any

from jackdawsill.core import (
    CancelSub,
    CloseLink,
    Count,
    Exit,
    FailureKind,
    HostState,
    Observe,
    OpenLink,
    ReadConfig,
    ReadHostList,
    SendAnswer,
    SendPeer,
    SendRefusal,
    SendSub,
    SetReadiness,
    StopRequested,
    SubFailed,
)
from jackdawsill.daemon._backend_client import BackendClient, SubOutcome
from jackdawsill.daemon._build import build_state
from jackdawsill.daemon._caller_server import CallerServer
from jackdawsill.daemon._errors import HostStopped
from jackdawsill.daemon._log_events import BAD_ANSWER, STARTED, STOPPED
from jackdawsill.daemon._metrics import close_metrics, make_metrics
from jackdawsill.daemon._operator_server import OperatorServer
from jackdawsill.daemon._platform_reader import PlatformReader
from jackdawsill.runtime import Driver, LinkSet, join_address, listening_socket
from jackdawsill.settings import Settings


class HostProcess:
    """Run one host in the current event loop.

    Tests may run several in one operating system process.

    `state` replaces the state from `build_state`, for embedding and tests. `exited`
    is set when the host has stopped.
    """

    def __init__(
        self,
        cfg: Settings,
        *,
        rng: random.Random | None = None,
        state: HostState | None = None,
    ) -> None:
        self.cfg = cfg
        self.rng = rng or random.Random()
        self.state = state
        self.exited = asyncio.Event()
        self.metrics = make_metrics(cfg)
        self._stop_task: asyncio.Task | None = None
        self._initialized = False
        self._listening = False
        self._stop_deferred = False  # before the start was complete
        self._stopped = False

    @property
    def caller_address(self) -> str:
        """Return host:port of the server for callers."""
        return join_address(self.cfg.host.address, self.caller_server.http.port_)

    @property
    def operator_address(self) -> str:
        """Return host:port of the server for operators."""
        return join_address(self.cfg.host.address, self.operator_server.http.port_)

    @property
    def peer_address(self) -> str:
        """Return host:port of the peer listener."""
        return join_address(self.cfg.host.address, self.links.port_)

    async def start(self) -> None:
        """Start the driver and open all ports."""
        host = self.cfg.host
        # Peers know the host by its peer port, so the port is bound before the state
        # is built.
        peer_socket = listening_socket(host.address, host.peer_port)
        peer_port = peer_socket.getsockname()[1]
        if self.state is None:
            self.state = build_state(self.cfg, self.rng, peer_port)
        self.driver = Driver(self.state)
        self.caller_server = CallerServer(self.driver, self.cfg.limits)
        self.operator_server = OperatorServer(
            self.driver, self._status, self.metrics.render
        )
        self.links = LinkSet(self.driver)
        id_prefix = f"{self.rng.getrandbits(32):08x}-"
        self.backend_client = BackendClient(
            self._on_outcome, id_prefix, self.cfg.limits.max_answer_bytes
        )
        platform = self.cfg.platform
        self.platform_reader = PlatformReader(
            self.driver, platform.config_url, platform.host_list_url
        )
        self._register_effect_handlers()
        self._initialized = True
        await self.backend_client.start()
        await self.platform_reader.start()
        # The driver starts before the ports open, so that timers work from the first
        # external event on.
        self.driver.start()
        await self.links.start(peer_socket)
        await self.operator_server.http.start(host.address, host.operator_port)
        await self.caller_server.http.start(host.address, host.caller_port)
        self.driver.log(
            STARTED,
            name=host.name,
            caller_port=self.caller_server.http.port_,
            operator_port=self.operator_server.http.port_,
            peer_port=self.links.port_,
        )
        self._listening = True
        if self._stop_deferred:
            self.request_stop()

    async def stop(self) -> None:
        """Stop at once; waiting callers are refused with `outcome_unknown`."""
        if self._stopped or not self._initialized:
            return
        self._stopped = True
        self.driver.stop()
        self.caller_server.replies.refuse_all(HostStopped("the host stopped"))
        await self.caller_server.http.stop()
        await self.links.stop()
        await self.backend_client.stop()
        await self.platform_reader.stop()
        await self.operator_server.http.stop()
        await close_metrics(self.metrics)
        self.driver.log(STOPPED, name=self.state.name)
        self.exited.set()

    def request_stop(self) -> None:
        """Request a graceful stop; during the start it is deferred to the end of it."""
        if self._listening:
            self.driver.feed(StopRequested())
        else:
            self._stop_deferred = True

    def _register_effect_handlers(self) -> None:
        """Register the handlers of all effects with the driver."""
        self.driver.effect_handlers.update(
            {
                SendSub: self.backend_client.send,
                CancelSub: self.backend_client.cancel,
                SendAnswer: self.caller_server.replies.deliver,
                SendRefusal: self.caller_server.replies.refuse,
                SetReadiness: self.caller_server.set_readiness,
                OpenLink: self.links.open,
                CloseLink: self.links.close,
                SendPeer: self.links.send,
                ReadConfig: self.platform_reader.read_config,
                ReadHostList: self.platform_reader.read_host_list,
                Count: self.metrics.count,
                Observe: self.metrics.observe,
                Exit: self._exit,
            }
        )

    def _status(self) -> dict[str, Any]:
        """Return the daemon's own section of `/status`."""
        return {
            "callers_waiting": len(self.caller_server.replies),
            "subs_in_hand": len(self.backend_client),
            "cancels_unsent": self.backend_client.n_cancels_unsent_,
            "links": len(self.links),
            "ready": self.caller_server.ready_,
        }

    def _on_outcome(self, sub: SendSub, outcome: SubOutcome) -> None:
        """Feed the result of a sub-request to the reducer."""
        if isinstance(outcome, SubFailed) and outcome.kind is FailureKind.BAD_ANSWER:
            self.driver.log(
                BAD_ANSWER, replica=sub.replica, shard=sub.shard, detail=outcome.detail
            )
        self.driver.feed(outcome)

    def _exit(self, effect: Exit) -> None:
        """Carry out `Exit`: stop once queued replies and messages are written."""
        if self._stop_task is None:
            self._stop_task = asyncio.get_running_loop().create_task(self.stop())
