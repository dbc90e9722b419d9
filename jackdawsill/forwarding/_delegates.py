"""Fan-outs of hosts with a narrow link, run by a host with a wide one.

The parts of a fan-out arrive over the link of the host that runs it. A narrow link
takes most of the objective for them, while the merged answer is small.
"""

import msgspec

from jackdawsill.core import Count, Effect, HostState
from jackdawsill.forwarding._calls import Attempt, Call, CallTable, Part
from jackdawsill.forwarding._effects import SendAttempt
from jackdawsill.forwarding._model import ForwardRoute, ReplicaEntry
from jackdawsill.forwarding._replica import LiveReplica

# A host offers to run fan-outs of others if its link carries this much: 100 parts of
# 1 KB in 20 ms.
WIDE_LINK_MBPS = 40.0
# A fan-out is given away if its parts would take longer than this part of its
# objective on the host's own link.
NARROW_FRACTION = 0.1
# Size of a part with its headers until answers have shown it, in bytes.
PART_BYTES_DEFAULT = 1000.0
# Weight of a new part in the learned size: about the last twenty parts count.
PART_BYTES_WEIGHT = 0.05
# An answer that is this late after the objective speaks against the delegate.
LATE_S = 0.15
# Connections to one delegate; each carries one call at a time.
N_CONNECTIONS = 8


class DelegateHost(msgspec.Struct, frozen=True):
    """A host that offers to run fan-outs of others."""

    name: str
    address: str  # host:port for other hosts
    failure_domain: str


class DelegateTable:
    """Hold the helpers of the fleet, and the size of parts by route."""

    __slots__ = ("delegates_", "link_mbps", "offer", "part_bytes_")

    def __init__(self, link_mbps: float, offer: DelegateHost | None) -> None:
        self.link_mbps = link_mbps
        # What this host offers to others, None if its own link is narrow.
        self.offer = offer if link_mbps >= WIDE_LINK_MBPS else None
        self.delegates_: dict[str, LiveReplica] = {}
        self.part_bytes_: dict[str, float] = {}

    def set_delegates(self, helpers: tuple[DelegateHost, ...], now: float) -> None:
        """Replace the helpers; what was seen of those that stay is kept."""
        known = self.delegates_
        self.delegates_ = {}
        for helper in helpers:
            live = known.get(helper.name)
            if live is None or live.entry.address != helper.address:
                entry = ReplicaEntry(
                    helper.name,
                    "",
                    helper.address,
                    helper.failure_domain,
                    N_CONNECTIONS,
                )
                live = LiveReplica(entry, now)
            self.delegates_[helper.name] = live

    def on_part(self, route: ForwardRoute, n_bytes: int) -> None:
        """Learn the size of a route's parts."""
        size = self.part_bytes_.get(route.name, PART_BYTES_DEFAULT)
        self.part_bytes_[route.name] = size + PART_BYTES_WEIGHT * (n_bytes - size)

    def transfer_s(self, route: ForwardRoute) -> float:
        """Return the time that the parts of a fan-out take on the own link."""
        size = self.part_bytes_.get(route.name, PART_BYTES_DEFAULT)
        return len(route.shards) * size * 8 / (self.link_mbps * 1e6)

    def choose(
        self, route: ForwardRoute, domain: str, now: float
    ) -> LiveReplica | None:
        """Return the least busy helper of the failure domain, if one is needed."""
        if self.offer is not None or not route.is_fanout:
            return None
        if self.transfer_s(route) < NARROW_FRACTION * route.objective_s:
            return None
        usable = [
            live
            for live in self.delegates_.values()
            if live.entry.failure_domain == domain and not live.is_ejected(now)
        ]
        return min(usable, key=lambda live: live.in_flight, default=None)


def send_to_delegate(
    state: HostState, call: Call, helper: LiveReplica, now: float
) -> list[Effect]:
    """Give a fan-out to a helper; its answer is the answer of the call."""
    call.is_delegated = True
    part = Part(call, helper.entry.name)
    call.parts = [part]
    attempt = Attempt(state.next_id(), part, helper, now, 1.0, 0.0, False)
    part.open[attempt.attempt_id] = attempt
    part.tried.add(helper.entry.name)
    helper.in_flight += 1
    state.component(CallTable).attempts_[attempt.attempt_id] = attempt
    entry = helper.entry
    return [
        Count("forwarding_calls_delegated"),
        SendAttempt(
            attempt.attempt_id,
            call.req,
            entry.name,
            "",
            entry.address,
            call.deadline_at,
            True,
            N_CONNECTIONS,
            is_delegated=True,
        ),
    ]
