"""Admission of calls: route, deadline and first attempts."""

from jackdawsill.core import Effect, HostState, LogEvent, handles
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.forwarding import _errors as errors
from jackdawsill.forwarding import _log_events as log_events
from jackdawsill.forwarding._calls import Call, CallTable, Part
from jackdawsill.forwarding._catalog import RouteCatalog
from jackdawsill.forwarding._crashes import CrashEvidence, fingerprint
from jackdawsill.forwarding._delegates import DelegateTable, send_to_delegate
from jackdawsill.forwarding._dispatch import call_timer, send_first
from jackdawsill.forwarding._diversion import divert_or_refuse, must_divert
from jackdawsill.forwarding._effects import RefuseCall
from jackdawsill.forwarding._events import CallArrived
from jackdawsill.forwarding._lifecycle import GatewayLifecycle
from jackdawsill.forwarding._model import ForwardRequest, ForwardRoute
from jackdawsill.forwarding._policy import (
    DEADLINE_MARGIN_S,
    RETRY_AFTER_STOPPING_S,
    RETRY_AFTER_UNKNOWN_S,
    UNREPEATABLE_OBJECTIVES,
    ForwardingPolicy,
)
from jackdawsill.forwarding._probing import move_probe, should_probe
from jackdawsill.forwarding._registry import ReplicaRegistry
from jackdawsill.forwarding._replies import refuse, reply_if_ready
from jackdawsill.forwarding._retry_after import (
    n_parts_needed,
    retry_after_ms,
    servable_at,
)


@handles(CallArrived, needs=CallTable)
def on_call(state: HostState, event: CallArrived, now: float) -> list[Effect]:
    """Route a call and send its first attempts."""
    catalog = state.component(RouteCatalog)
    req = event.req
    if event.is_delegated and event.config_version not in (None, catalog.version):
        detail = f"version {catalog.version} is not {event.config_version}"
        error = errors.DelegationDeclined(
            f"this host has another configuration: {detail}"
        )
        return _refuse_unrouted(event, error, catalog.version)
    if catalog.routes_ is None:
        error = errors.NoRoutesYet(
            "no configuration has been read yet",
            retry_after_ms=int(1000 * RETRY_AFTER_UNKNOWN_S),
        )
        return _refuse_unrouted(event, error, 0)
    route = catalog.find(req)
    if route is None and catalog.is_behind and not event.is_delegated:
        error = errors.ConfigurationBehind(
            f"version {catalog.shown_version_} has not been read yet",
            retry_after_ms=int(1000 * RETRY_AFTER_UNKNOWN_S),
        )
        return _refuse_unrouted(event, error, catalog.version)
    if route is None:
        error = errors.NoSuchRoute("no route matches the host name and path")
        return _refuse_unrouted(event, error, catalog.version)
    call = _new_call(state, event.call_id, req, route, now)
    stopping = _limit_by_stop(state, call)
    if stopping is not None:
        return refuse(state, call, now, stopping)
    if state.component(CrashEvidence).is_condemned(call.fingerprint, now):
        error = errors.Condemned("the request crashed the replicas that ran it")
        return refuse(state, call, now, error)
    call.is_for_peer = event.is_delegated
    call.n_attempts_before = event.n_attempts_before
    if must_divert(state, call) and now < call.deadline_at:
        return _admit_elsewhere(state, call, now)
    refusal = _check_servable(state, call, now)
    if refusal is not None:
        _record_demand(state, call, now)
        return refuse(state, call, now, refusal)
    state.component(CallTable).calls_[call.call_id] = call
    if not event.is_delegated:
        delegate = state.component(DelegateTable).choose(
            route, state.failure_domain, now
        )
        if delegate is not None:
            sent = send_to_delegate(state, call, delegate, now)
            return [*sent, call_timer(call, now)]
    return run_locally(state, call, now)


def _admit_elsewhere(state: HostState, call: Call, now: float) -> list[Effect]:
    """Run a call through another host, since this one must not run it."""
    if call.is_for_peer:
        error = errors.DelegationDeclined("this host reaches no replica")
        return refuse(state, call, now, error)
    state.component(CallTable).calls_[call.call_id] = call
    return divert_or_refuse(state, call, now)


def run_locally(state: HostState, call: Call, now: float) -> list[Effect]:
    """Send the first attempts of a call to replicas, without a delegate."""
    effects: list[Effect] = []
    _record_demand(state, call, now)
    _skip_ejected_parts(state, call, now)
    if should_probe(state, call, now):
        effects += move_probe(state, call, now)
    else:
        for part in call.parts:
            if not part.failed:
                effects += send_first(state, part, now)
    ending = reply_if_ready(state, call, now)
    if ending:
        return [*effects, *ending]
    return [*effects, call_timer(call, now)]


def reclaim_from_delegate(state: HostState, call: Call, now: float) -> list[Effect]:
    """Run a call after its delegate failed without running it."""
    call.is_delegated = False
    if must_divert(state, call):
        return divert_or_refuse(state, call, now)
    call.parts = [Part(call, service) for service in call.services]
    return run_locally(state, call, now)


def _new_call(
    state: HostState,
    call_id: int,
    req: ForwardRequest,
    route: ForwardRoute,
    now: float,
) -> Call:
    catalog = state.component(RouteCatalog)
    limit_s = route.timeout_s
    if req.deadline_s is not None:
        limit_s = min(limit_s, req.deadline_s - DEADLINE_MARGIN_S)
    network_s = state.component(ForwardingPolicy).caller_network_s
    call = Call(
        call_id,
        req,
        route,
        catalog.version,
        now,
        now + limit_s,
        now + max(0.0, route.objective_s - network_s),
        f"call:{call_id}",
        fingerprint(req),
    )
    call.services = route.shards or (catalog.next_service(route, state.rng),)
    call.parts = [Part(call, service) for service in call.services]
    return call


def _limit_by_stop(state: HostState, call: Call) -> JackdawsillError | None:
    """End a call before this host exits; return the error if it should not begin.

    A call begins only if its objective is before the exit. One that must not be
    repeated needs more time, as its outcome would be unknown.
    """
    grace_s = state.component(ForwardingPolicy).grace_s
    last_reply_at = state.component(GatewayLifecycle).last_reply_at(grace_s)
    if last_reply_at is None:
        return None
    needed_until = call.objective_at
    if not call.route.idempotent:
        longest_s = UNREPEATABLE_OBJECTIVES * call.route.objective_s
        needed_until = min(call.deadline_at, call.arrived_at + longest_s)
    if needed_until > last_reply_at:
        return errors.HostStopping(
            "the host stops before the call could be answered",
            retry_after_ms=int(1000 * RETRY_AFTER_STOPPING_S),
        )
    call.deadline_at = min(call.deadline_at, last_reply_at)
    return None


def _check_servable(
    state: HostState, call: Call, now: float
) -> JackdawsillError | None:
    """Return the error if the call cannot be served now, else None."""
    if now >= call.deadline_at:
        return errors.ExpiredUnsent("the deadline had passed on arrival")
    registry = state.component(ReplicaRegistry)
    n_needed = n_parts_needed(call)
    n_known = sum(bool(registry.by_service_.get(p.service)) for p in call.parts)
    if n_known < n_needed:
        return errors.NoReplica(
            f"replicas are known for {n_known} of {len(call.parts)} services",
            retry_after_ms=retry_after_ms(state, call, now),
        )
    if servable_at(state, call, now) <= now:
        return None
    n_now = sum(registry.available_at(p.service, now) <= now for p in call.parts)
    return errors.RateLimited(
        f"replicas take {n_now} of {len(call.parts)} parts now, {n_needed} needed",
        retry_after_ms=retry_after_ms(state, call, now),
    )


def _record_demand(state: HostState, call: Call, now: float) -> None:
    """Count the parts of a call that this host would send, by service."""
    shares = state.component(ReplicaRegistry).limit_shares
    if shares.counters_:
        for part in call.parts:
            shares.record(part.service, now)


def _skip_ejected_parts(state: HostState, call: Call, now: float) -> None:
    """Mark parts whose replicas are all ejected as failed, if enough parts remain.

    Such a part is unlikely to be answered and would delay the reply up to the latency
    objective. Replicas whose backoff has ended are probed by later calls.
    """
    if not call.route.is_fanout:
        return
    registry = state.component(ReplicaRegistry)
    n_spare = len(call.parts) - n_parts_needed(call)
    for part in call.parts:
        if n_spare and not registry.n_available(part.service, now):
            part.failed = True
            part.outcome = "all replicas ejected"
            n_spare -= 1


def _refuse_unrouted(
    event: CallArrived, error: JackdawsillError, version: int
) -> list[Effect]:
    fields = {
        "request": event.req.request_id.decode("latin-1"),
        "host_name": event.req.host.decode("latin-1"),
        "target": event.req.target.decode("latin-1"),
        "config": version,
        "outcome": error.code_text,
    }
    return [
        RefuseCall(event.call_id, error),
        LogEvent(log_events.CALL_UNROUTED, fields),
    ]
