"""Child program of the load tool: one entry host.

It runs in any checkout, so that two versions can be compared.
"""

import asyncio
import os
import sys
import time
from typing import Any

import logbook
import uvloop

from jackdawsill.core import Count, SendPeer
from jackdawsill.daemon import HostProcess, tune_gc
from jackdawsill.logs import JsonHandler
from jackdawsill.membership import MemberTable
from jackdawsill.settings import HostSettings, PlatformSettings, Settings

# This folder is last on the path, so that packages of the checkout have precedence.
sys.path.append(os.path.dirname(os.path.abspath(__file__)))

from _child import serve_commands

POLL_INTERVAL_S = 0.002


class Host:
    """Entry host with the commands that the load tool calls by name."""

    def __init__(self) -> None:
        self.host: HostProcess | None = None
        self.drop_fraction = 0.0
        self.cut_from: frozenset[str] = frozenset()
        self.n_dropped = 0
        self.totals: dict[str, float] = {}

    async def start(
        self, name: str, failure_domain: str, config_url: str, host_list_url: str
    ) -> dict[str, str]:
        """Start the host; return its addresses."""
        host = HostSettings(
            name=name,
            failure_domain=failure_domain,
            region="bench",
            address="127.0.0.1",
            caller_port=0,
            operator_port=0,
            peer_port=0,
            fleet_key="key of the fleet of the load tool",
        )
        platform = PlatformSettings(config_url=config_url, host_list_url=host_list_url)
        self.host = HostProcess(Settings(host=host, platform=platform))
        await self.host.start()
        self._send = self.host.driver.effect_handlers[SendPeer]
        self.host.driver.effect_handlers[SendPeer] = self._send_or_drop
        self._count = self.host.driver.effect_handlers[Count]
        self.host.driver.effect_handlers[Count] = self._record_count
        tune_gc()
        return {
            "caller": self.host.caller_address,
            "operator": self.host.operator_address,
            "peer": self.host.peer_address,
        }

    def _send_or_drop(self, effect: SendPeer) -> None:
        """Send a message, or drop it: to hosts in `cut_from`, or at random."""
        if self._is_cut(effect.link_id) or (
            self.drop_fraction and self.host.rng.random() < self.drop_fraction
        ):
            self.n_dropped += 1
            return
        self._send(effect)

    def _is_cut(self, link_id: int) -> bool:
        if not self.cut_from:
            return False
        table = self.host.state.component(MemberTable)
        link = table.link_table_.links_.get(link_id)
        entry = table.entries_.get(link.peer) if link is not None else None
        return entry is not None and entry.member.name in self.cut_from

    async def faults(self, drop_fraction: float, cut_from: list[str]) -> int:
        """Set which messages to hosts are dropped; return how many were dropped so far.

        `cut_from` names hosts to which all messages are dropped.
        """
        self.drop_fraction = drop_fraction
        self.cut_from = frozenset(cut_from)
        return self.n_dropped

    async def in_force(self, generation: int, limit_s: float) -> float | None:
        """Wait until a generation is accepted; return the monotonic time, or None.

        The monotonic clock is common to all processes of the machine.
        """
        end_at = time.monotonic() + limit_s
        while time.monotonic() < end_at:
            objects = self.host.state.objects_
            if objects is not None and objects.generation >= generation:
                return time.monotonic()
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    def _record_count(self, effect: Count) -> None:
        """Add up counters here, independently of the checkout's metrics."""
        key = effect.name
        # These are counted by the kind of error; all others over all labels.
        if key in ("queries_refused", "sub_requests_failed"):
            key = f"{key}:{effect.labels[0][1]}"
        self.totals[key] = self.totals.get(key, 0.0) + effect.value
        self._count(effect)

    async def counts(self) -> dict[str, float]:
        """Return all counters, summed over labels except for error counters."""
        return self.totals

    async def windows(self) -> dict[str, Any]:
        """Return the state of each group's admission window."""
        from jackdawsill.limits import AdmissionQueue

        queue = self.host.state.component(AdmissionQueue)
        return {
            name: {
                "window": round(group.window.value, 2),
                "maximum": round(group.window.maximum, 2),
                "running": group.n_running,
                "queued": group.n_queued,
                "service_ms": round(group.window.service_s * 1000, 1),
            }
            for name, group in queue.groups_.items()
        }


async def run() -> None:
    """Serve commands, then stop the host."""
    host = Host()
    commands = ("start", "faults", "in_force", "counts", "windows")
    await serve_commands({name: getattr(host, name) for name in commands})
    if host.host is not None:
        await host.host.stop()


if __name__ == "__main__":
    with JsonHandler(sys.stderr, level=logbook.WARNING).applicationbound():
        uvloop.run(run())
