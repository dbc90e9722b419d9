"""Status sections and explanations of admission, shares and limits."""

from typing import Any

from jackdawsill.core import HostState, explain_section, status_section
from jackdawsill.limits._admission import AdmissionQueue
from jackdawsill.limits._concurrency import ConcurrencyLimits
from jackdawsill.limits._shares import ConnectionShares
from jackdawsill.limits._shed_rates import ShedWatch


@status_section("admission")
def admission_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the admission window and the queue of each group that was queried."""
    queue = state.components_.get(AdmissionQueue)
    if queue is None:
        return {}
    rows = [{"group": n, **_describe_group(queue, n)} for n in sorted(queue.groups_)]
    return {"n_hosts": queue.n_hosts, "groups": rows}


@status_section("limits")
def limit_status(state: HostState, now: float) -> dict[str, Any]:
    """Return replicas with a reduced share, and services that get no retries."""
    shares = state.components_.get(ConnectionShares)
    sheds = state.components_.get(ShedWatch)
    if shares is None or sheds is None:
        return {}
    reduced = [
        {"replica": name, "share": share.current, "full_share": share.full}
        for name, share in sorted(shares.shares_.items())
        if share.current < share.full
    ]
    shedding = [s for s in sorted(sheds.windows_) if sheds.is_shedding(s, now)]
    return {"reduced_shares": reduced, "services_without_retries": shedding}


@explain_section("replica", "limits")
def explain_replica(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return connection share and concurrency limit of a replica; None if unknown."""
    objects = state.objects_
    replica = None if objects is None else objects.replicas.get(name)
    shares = state.components_.get(ConnectionShares)
    limits = state.components_.get(ConcurrencyLimits)
    if objects is None or replica is None or shares is None or limits is None:
        return None
    group = objects.groups[objects.services[replica.service].group]
    share = shares.share(name, now)
    return {
        "connection_share": share,
        "full_share": shares.shares_[name].full,
        "connection_cap": group.max_connections,
        "n_hosts": len(shares.hosts_),
        "may_send": share > 0,
        "concurrency_limit": round(limits.limit(name, group.n_slots), 2),
        "slots": group.n_slots,
    }


@explain_section("service", "limits")
def explain_service(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Tell whether a service gets no retries because it sheds; None if unknown."""
    sheds = state.components_.get(ShedWatch)
    if state.objects_ is None or name not in state.objects_.services or sheds is None:
        return None
    return {"retries_held_back": sheds.is_shedding(name, now)}


@explain_section("route", "admission")
def explain_route(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return the admission state of a route's group; None before its first query."""
    route = None if state.objects_ is None else state.objects_.routes.get(name)
    queue = state.components_.get(AdmissionQueue)
    if route is None or queue is None or route.group not in queue.groups_:
        return None
    return _describe_group(queue, route.group)


def _describe_group(queue: AdmissionQueue, name: str) -> dict[str, Any]:
    """Return admission window, queue and predicted wait of one group."""
    group = queue.groups_[name]
    return {
        "running": group.n_running,
        "queued": group.n_queued,
        "window": round(group.window.value, 2),
        "window_max": round(group.window.maximum, 2),
        "service_ms": round(group.window.service_s * 1000.0, 1),
        "predicted_wait_ms": round(queue.predicted_wait_s(name) * 1000.0, 1),
    }
