"""One entry host: its ports, its driver and its clients."""

import asyncio
import random
from typing import Any

from jackdawsill.core import (
    CancelSub,
    Count,
    Deliver,
    Exit,
    HostState,
    Observe,
    Refuse,
    SendSub,
    SetReadiness,
    StopRequested,
    SubFailed,
)
from jackdawsill.core._events import FailureKind
from jackdawsill.daemon._backend_client import BackendClient, Outcome
from jackdawsill.daemon._build import build_state
from jackdawsill.daemon._caller_server import CallerServer
from jackdawsill.daemon._driver import Driver
from jackdawsill.daemon._errors import HostStopped
from jackdawsill.daemon._log_events import BAD_ANSWER, STARTED, STOPPED


class HostProcess:
    """Run one host in the current loop; several may run in one process."""

    def __init__(
        self,
        cfg: Any,
        *,
        rng: random.Random | None = None,
        state: HostState | None = None,
    ) -> None:
        self.cfg = cfg
        self.rng = rng or random.Random()
        self.state = state or build_state(cfg, self.rng)
        self.driver = Driver(self.state)
        self.callers = CallerServer(self.driver)
        self.backends = BackendClient(
            self._on_outcome, f"{self.rng.getrandbits(32):08x}-"
        )
        self.exited = asyncio.Event()
        self.driver.actions.update(
            {
                SendSub: self.backends.send,
                CancelSub: self.backends.cancel,
                Deliver: self.callers.replies.deliver,
                Refuse: self.callers.replies.refuse,
                SetReadiness: self.callers.set_readiness,
                Count: self._count,
                Observe: self._observe,
                Exit: self._exit,
            }
        )

    @property
    def caller_address(self) -> str:
        """Return host:port of the callers' server."""
        return f"{self.cfg.host.address}:{self.callers.http.port_}"

    async def start(self) -> None:
        """Open all ports, then send the first tick."""
        host = self.cfg.host
        await self.backends.start()
        await self.callers.http.start(host.address, host.caller_port)
        self.driver.start()
        self.driver.log(
            STARTED,
            name=host.name,
            caller_port=self.callers.http.port_,
            operator_port=0,
            peer_port=0,
        )

    async def stop(self) -> None:
        """Close everything; callers that still wait get `outcome_unknown`."""
        self.driver.stop()
        self.callers.replies.refuse_all(HostStopped("the host stopped"))
        await self.callers.http.stop()
        await self.backends.stop()
        self.driver.log(STOPPED, name=self.state.name)
        self.exited.set()

    def request_stop(self) -> None:
        """Ask for a graceful stop; `exited` is set at its end."""
        self.driver.feed(StopRequested())

    def _on_outcome(self, sub: SendSub, outcome: Outcome) -> None:
        """Feed the event of a sub-request."""
        if isinstance(outcome, SubFailed) and outcome.kind is FailureKind.BAD_ANSWER:
            self.driver.log(
                BAD_ANSWER, replica=sub.replica, shard=sub.shard, detail=outcome.detail
            )
        self.driver.feed(outcome)

    def _count(self, effect: Count) -> None:
        pass

    def _observe(self, effect: Observe) -> None:
        pass

    def _exit(self, effect: Exit) -> None:
        """End after the replies that are queued were written."""
        self.exited.set()
