"""Delegation of calls to other hosts.

Fan-outs of hosts with a narrow link go to hosts with a wide one, and all calls of a
host that reaches no replica to any other (`_diversion`).

The answers of all parts cross the link of the host that runs the fan-out. On a narrow
link they take most of the latency objective, while the merged answer is small.
"""

import random
from collections.abc import Collection

import msgspec

from jackdawsill.core import Count, Effect, HostState
from jackdawsill.forwarding._calls import Attempt, Call, CallTable, Part
from jackdawsill.forwarding._catalog import RouteCatalog
from jackdawsill.forwarding._effects import SendAttempt
from jackdawsill.forwarding._model import ForwardRoute, ReplicaEntry
from jackdawsill.forwarding._replica import LiveReplica

# A link is wide if it has this bandwidth, which carries 100 parts of 1 KB in 20 ms.
WIDE_LINK_MBPS = 40.0
# A fan-out is delegated if its parts would take longer than this fraction of its
# latency objective on the host's own link.
NARROW_FRACTION = 0.1
# Assumed bytes of one part's answer with headers, until answers were received.
PART_BYTES_DEFAULT = 1000.0
# Weight of a new answer in the average size, which covers about 20 answers.
PART_BYTES_WEIGHT = 0.05
# A delegate is ejected if it has not answered this long after the objective.
DELEGATE_LATE_S = 0.15
# Connection limit for one delegate; each connection carries one call at a time.
N_DELEGATE_CONNECTIONS = 8


class DelegateHost(msgspec.Struct, frozen=True):
    """A host that runs fan-outs for hosts with a narrow link."""

    name: str
    address: str  # host:port for other hosts
    failure_domain: str
    is_wide: bool = True  # else it only runs calls of hosts cut off from replicas
    # It keeps to what a delegated call states: the version of the configuration and the
    # attempts that are left. Hosts of older builds do not.
    checks_terms: bool = False


class DelegateTable:
    """Hold the known delegates, and the average answer size of a part per route."""

    __slots__ = (
        "checking_terms_",
        "delegates_",
        "link_mbps",
        "own",
        "part_bytes_",
        "wide_",
    )

    def __init__(self, link_mbps: float, offer: DelegateHost | None) -> None:
        self.link_mbps = link_mbps
        self.own = offer
        self.delegates_: dict[str, LiveReplica] = {}
        self.wide_: set[str] = set()  # delegates with wide links
        self.checking_terms_: set[str] = set()  # delegates not of older builds
        self.part_bytes_: dict[str, float] = {}

    @property
    def offer(self) -> DelegateHost | None:
        """Return this host's own entry as a delegate, if it can be one."""
        if self.own is None:
            return None
        return msgspec.structs.replace(self.own, is_wide=self._has_wide_link)

    @property
    def _has_wide_link(self) -> bool:
        return self.link_mbps >= WIDE_LINK_MBPS

    def set_delegates(self, hosts: tuple[DelegateHost, ...], now: float) -> None:
        """Replace the delegates; those that remain keep their observed state."""
        known = self.delegates_
        self.delegates_ = {}
        self.wide_ = set()
        self.checking_terms_ = {host.name for host in hosts if host.checks_terms}
        for host in hosts:
            delegate = known.get(host.name)
            if host.is_wide:
                self.wide_.add(host.name)
            if delegate is None or delegate.entry.address != host.address:
                entry = ReplicaEntry(
                    host.name,
                    "",
                    host.address,
                    host.failure_domain,
                    N_DELEGATE_CONNECTIONS,
                )
                delegate = LiveReplica(entry, now)
            self.delegates_[host.name] = delegate

    def record_part_size(self, route: ForwardRoute, n_bytes: int) -> None:
        """Update the average answer size with an answer of `n_bytes`."""
        size = self.part_bytes_.get(route.name, PART_BYTES_DEFAULT)
        self.part_bytes_[route.name] = size + PART_BYTES_WEIGHT * (n_bytes - size)

    def transfer_s(self, route: ForwardRoute) -> float:
        """Return how long the answers of a fan-out occupy this host's link."""
        size = self.part_bytes_.get(route.name, PART_BYTES_DEFAULT)
        return len(route.shards) * size * 8 / (self.link_mbps * 1e6)

    def choose(
        self, route: ForwardRoute, domain: str, now: float
    ) -> LiveReplica | None:
        """Return the delegate in failure domain `domain` with the fewest calls.

        None if the call should run on this host, or if no delegate is available.
        """
        is_delegate = self.own is not None and self._has_wide_link
        if is_delegate or not route.is_fanout:
            return None
        if self.transfer_s(route) < NARROW_FRACTION * route.objective_s:
            return None
        usable = [
            delegate
            for delegate in self.delegates_.values()
            if delegate.entry.name in self.wide_ & self.checking_terms_
            and delegate.entry.failure_domain == domain
            and not delegate.is_ejected(now)
        ]
        return min(usable, key=lambda delegate: delegate.in_flight, default=None)

    def choose_any(
        self,
        domain: str | None,
        exclude: Collection[str],
        now: float,
        rng: random.Random,
        *,
        is_fanout: bool = False,
        is_new: bool = True,
    ) -> LiveReplica | None:
        """Return another host for any call, or None if none is available.

        Hosts of older builds come last, since they may have an older configuration, and
        get no call that is not new: they would use all of its attempts again. For a
        fan-out, hosts with wide links come first, then those in failure domain
        `domain`, those with fewer calls before others.
        """
        own_name = "" if self.own is None else self.own.name
        usable = [
            delegate
            for name, delegate in self.delegates_.items()
            if name != own_name
            and name not in exclude
            and not delegate.is_ejected(now)
            and (is_new or name in self.checking_terms_)
        ]
        return min(
            usable,
            key=lambda d: (
                d.entry.name not in self.checking_terms_,
                is_fanout and d.entry.name not in self.wide_,
                domain is not None and d.entry.failure_domain != domain,
                d.in_flight,
                rng.random(),
            ),
            default=None,
        )


def send_to_delegate(
    state: HostState, call: Call, delegate: LiveReplica, now: float
) -> list[Effect]:
    """Send a whole call to a delegate, whose answer is passed to the caller."""
    call.is_delegated = True
    call.may_have_run_before = call.may_have_run
    call.n_attempts_before = call.n_attempts_used
    part = Part(call, delegate.entry.name)
    call.parts = [part]
    # Typical latency and round-trip time are not evaluated for a delegate.
    attempt = Attempt(state.next_id(), part, delegate, now, 1.0, 0.0, False)
    part.attempts[attempt.attempt_id] = attempt
    part.tried.add(delegate.entry.name)
    delegate.in_flight += 1
    state.component(CallTable).attempts_[attempt.attempt_id] = attempt
    entry = delegate.entry
    return [
        Count("forwarding_calls_delegated"),
        SendAttempt(
            attempt.attempt_id,
            call.req,
            entry.name,
            "",
            entry.address,
            call.deadline_at,
            call.route.idempotent,
            N_DELEGATE_CONNECTIONS,
            is_delegated=True,
            config_version=state.component(RouteCatalog).required_version,
            n_attempts_before=call.n_attempts_before,
        ),
    ]
