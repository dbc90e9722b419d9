"""Relaying of the hosts' demand for services whose replicas state limits."""

from collections.abc import Collection, Mapping

from jackdawsill.core import (
    Effect,
    HostState,
    LinkClosed,
    PeerMessageRead,
    SendPeer,
    Tick,
    handles,
)
from jackdawsill.forwarding import Demand, ReplicaRegistry, add_demands
from jackdawsill.relaying._feed import UpdateFeed, UpstreamState
from jackdawsill.relaying._messages import LimitDemand, LimitDemandTotal

# Interval of reports and totals, sent only while replicas state limits.
DEMAND_INTERVAL_S = 0.5
# A report counts for this time; a lost one is followed by the next.
REPORT_KEPT_S = 1.5


class DemandFeed:
    """Reports of the linked hosts, each with the time at which it was received."""

    __slots__ = ("reports_", "sent_at_")

    def __init__(self) -> None:
        self.reports_: dict[int, tuple[float, Mapping[str, Demand]]] = {}
        self.sent_at_ = 0.0

    def recent(
        self, links: Collection[int], now: float
    ) -> tuple[Mapping[str, Demand], ...]:
        """Return the recent reports received on some links."""
        return tuple(
            report
            for link_id, (at, report) in self.reports_.items()
            if link_id in links and now - at <= REPORT_KEPT_S
        )


@handles(PeerMessageRead, needs=DemandFeed)
def on_message(state: HostState, event: PeerMessageRead, now: float) -> list[Effect]:
    """Record the report of a linked host, or the total of the relay in use."""
    feed = state.component(UpdateFeed)
    message = event.message
    if isinstance(message, LimitDemand):
        state.component(DemandFeed).reports_[event.link_id] = now, message.demands
        return []
    is_of_relay = event.link_id == feed.relay_link_id_
    if is_of_relay and isinstance(message, LimitDemandTotal):
        state.component(ReplicaRegistry).limit_shares.set_total(message.demands, now)
    return []


@handles(LinkClosed, needs=DemandFeed)
def on_closed(state: HostState, event: LinkClosed, now: float) -> list[Effect]:
    """Forget the report of a host that is no longer linked."""
    state.component(DemandFeed).reports_.pop(event.link_id, None)
    return []


@handles(Tick, needs=DemandFeed)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Report this host's demand to its relay, or as a relay the sum of the reports."""
    feed = state.component(UpdateFeed)
    demands = state.component(DemandFeed)
    if now - demands.sent_at_ < DEMAND_INTERVAL_S:
        return []
    demands.sent_at_ = now
    registry = state.component(ReplicaRegistry)
    shares = registry.limit_shares
    own = shares.make_report(_limited_services(registry), now)
    if not feed.is_relay:
        if not own or feed.relay_state_ is not UpstreamState.SYNCED:
            return []
        return [SendPeer(feed.relay_link_id_, LimitDemand(own))]
    hosts = feed.subscribers_ - feed.relay_subscribers_
    local = add_demands((own, *demands.recent(hosts, now)))
    # Another relay gets only the sum of this host and its own subscribers.
    peers = demands.recent(feed.peer_relays_.keys(), now)
    total = add_demands((local, *peers))
    if not total:
        return []
    shares.set_total(total, now)
    return [
        *(SendPeer(link_id, LimitDemandTotal(total)) for link_id in sorted(hosts)),
        *(
            SendPeer(link_id, LimitDemand(local))
            for link_id in sorted(feed.relay_subscribers_)
        ),
    ]


def _limited_services(registry: ReplicaRegistry) -> set[str]:
    """Return the services of replicas that state a limit."""
    return {
        replica.entry.service
        for replica in registry.replicas_.values()
        if replica.rate_share is not None
    }
