"""Shares of the hosts in the rates that replicas take from all hosts together.

It answers a fleet whose load is on few hosts, such as delegates or the hosts of a busy
failure domain: equal shares leave most of a limit unused there. Each host reports how
many attempts it wants to send to services with limited replicas; relays add the reports
up. A quarter of a limit is divided equally and the rest by demand. A host without a
recent total takes an equal share of all of it.
"""

from collections import deque
from collections.abc import Collection, Iterable, Mapping

import msgspec

from jackdawsill.forwarding._fleet import COUNT_MARGIN, FleetSize
from jackdawsill.forwarding._windows import SlidingCounter

# Part of a limit that is divided equally, so that a host whose load begins can send.
EQUAL_FRACTION = 0.25
# Demand is counted over this time.
DEMAND_WINDOW_S = 2.0
# A host uses its smallest report of this time. A total that includes a larger one has
# reached the other hosts by then, so their shares are smaller already.
REPORT_LAG_S = 2.0
# A total is used for this time; relays send one each 0.5 s.
TOTAL_KEPT_S = 1.5


class Demand(msgspec.Struct, frozen=True):
    """Attempts per second that some hosts want to send to one service."""

    per_s: float
    n_hosts: int
    n_limited: int  # of these hosts, those to which a replica has stated a limit

    def __add__(self, other: "Demand") -> "Demand":
        return Demand(
            self.per_s + other.per_s,
            self.n_hosts + other.n_hosts,
            self.n_limited + other.n_limited,
        )


def add_demands(reports: Iterable[Mapping[str, Demand]]) -> dict[str, Demand]:
    """Return the sum of reports, by service."""
    total: dict[str, Demand] = {}
    for report in reports:
        for service, demand in report.items():
            known = total.get(service)
            total[service] = demand if known is None else known + demand
    return total


class LimitShares:
    """Demand of this host and of the fleet for services with limited replicas."""

    __slots__ = ("counters_", "fleet", "reports_", "total_", "total_at_")

    def __init__(self, fleet: FleetSize) -> None:
        self.fleet = fleet
        # Service with limited replicas -> attempts that this host wanted to send.
        self.counters_: dict[str, SlidingCounter] = {}
        # Reports of this host within REPORT_LAG_S, and the one before.
        self.reports_: deque[tuple[float, dict[str, Demand]]] = deque()
        self.total_: Mapping[str, Demand] = {}
        self.total_at_: float | None = None

    def record(self, service: str, now: float) -> None:
        """Count an attempt that this host wants to send, whether or not it may."""
        counter = self.counters_.get(service)
        if counter is not None:
            counter.add(now)

    def make_report(self, limited: Collection[str], now: float) -> dict[str, Demand]:
        """Return this host's demand for limited services, its own and the fleet's."""
        services = {*limited, *self._recent_total(now)}
        counters = {
            service: self.counters_.get(service) or SlidingCounter(DEMAND_WINDOW_S)
            for service in services
        }
        self.counters_ = counters
        report = {
            service: Demand(
                counter.total(now) / DEMAND_WINDOW_S, 1, int(service in limited)
            )
            for service, counter in counters.items()
        }
        self.reports_.append((now, report))
        while len(self.reports_) > 1 and self.reports_[1][0] <= now - REPORT_LAG_S:
            self.reports_.popleft()
        return report

    def set_total(self, total: Mapping[str, Demand], now: float) -> None:
        """Record the demand of the fleet; services without limits are left out."""
        self.total_ = {
            service: demand for service, demand in total.items() if demand.n_limited
        }
        self.total_at_ = now

    def divisor(self, service: str, now: float) -> float:
        """Return the number by which limits of the service's replicas are divided."""
        equal = self.fleet.divisor(now)
        total = self._recent_total(now).get(service)
        if total is None or not total.per_s or not self.reports_:
            return equal
        none = Demand(0.0, 1, 0)
        own = min(report.get(service, none).per_s for _, report in self.reports_)
        # Hosts that report nothing take equal shares.
        reporting = min(1.0, total.n_hosts * COUNT_MARGIN / equal)
        by_demand = reporting * min(1.0, own / total.per_s)
        return 1.0 / (EQUAL_FRACTION / equal + (1.0 - EQUAL_FRACTION) * by_demand)

    def _recent_total(self, now: float) -> Mapping[str, Demand]:
        if self.total_at_ is None or now - self.total_at_ > TOTAL_KEPT_S:
            return {}
        return self.total_
