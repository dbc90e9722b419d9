"""Check a request and submit it to the admission queue."""

import math
import re

import msgspec

from jackdawsill.core import (
    Count,
    Effect,
    EmitEvent,
    HostState,
    QueryArrived,
    SendRefusal,
    SetTimer,
)
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.limits import AdmissionDecision, AdmissionQueue, ReleasedQueries
from jackdawsill.objects import Caller, ObjectSet, Route
from jackdawsill.quarantine import Quarantine, Verdict, request_fingerprint
from jackdawsill.query._errors import (
    BadBody,
    BadHeader,
    BadToken,
    Condemned,
    HostStopping,
    NoRoute,
    NotEntitled,
    NotReady,
    Overloaded,
)
from jackdawsill.query._events import QueryExpired, QueryStarted
from jackdawsill.query._model import Query
from jackdawsill.query._table import QueryTable
from jackdawsill.stopping import HostLifecycle, HostPhase
from jackdawsill.tickets import TicketManager, mark_refusal_unknown

# A partial answer is sent this long before the deadline, so that it arrives in time.
# The margin of coverage-first callers is smaller, to wait longer for missing shards.
ANSWER_MARGIN_S = 0.015
COVERAGE_MARGIN_S = 0.005
# Upper limit of a deadline; a planned stop of the host waits this long for queries.
MAX_DEADLINE_S = 30.0
# Request ids are limited to these characters, because the path of a cancel request
# contains them.
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._~-]{1,64}")


def admit(
    state: HostState, request: QueryArrived, now: float, effects: list[Effect]
) -> None:
    """Check a request, then start, queue or refuse it.

    A request of a route that is not repeatable goes to the ticket manager instead.
    """
    try:
        caller, route = _check_caller(state, request)
        deadline_s = _check_headers(request, route)
        if route.repeatable:
            # Refuse before the body is parsed, so that a refusal costs little CPU time
            # while the host is overloaded.
            _check_admission(state, route, caller, now + deadline_s, now)
        fingerprint = _check_body(state, request, now)
    except JackdawsillError as exc:
        mark_refusal_unknown(request, exc)
        effects.append(SendRefusal(request.query_id, exc))
        effects.append(_count_refusal(exc))
        return
    if not route.repeatable:
        effects.extend(state.component(TicketManager).on_request(state, request, now))
        return
    query = _new_query(request, caller, route, fingerprint, deadline_s, now)
    _submit(state, query, now, effects)


def _submit(state: HostState, query: Query, now: float, effects: list[Effect]) -> None:
    queue = state.component(AdmissionQueue)
    decision, wait_s = queue.submit(
        query.route.group,
        query.caller.department,
        query.query_id,
        query.deadline_at,
        now,
    )
    if decision is AdmissionDecision.REFUSED:
        exc = overloaded(wait_s)
        effects.append(SendRefusal(query.query_id, exc))
        effects.append(_count_refusal(exc))
        return
    state.component(QueryTable).add(query)
    effects.append(SetTimer(query.end_timer_id(), query.cutoff_at))
    if decision is AdmissionDecision.START:
        query.is_admitted = True
        effects.append(EmitEvent(QueryStarted(query.query_id)))
        return
    # The query waits; the timer is set if only a pause between queries delays it.
    group = query.route.group
    apply_released(state, queue.start_next(group, now), group, effects)


def apply_released(
    state: HostState, released: ReleasedQueries, group: str, effects: list[Effect]
) -> None:
    """Start the queries that the admission queue released, and end expired ones."""
    queries = state.component(QueryTable).queries_
    for query_id in released.expired:
        effects.append(EmitEvent(QueryExpired(query_id)))
    for query_id in released.started:
        queries[query_id].is_admitted = True
        effects.append(EmitEvent(QueryStarted(query_id)))
    if released.retry_at is not None:
        effects.append(SetTimer(f"query:admit:{group}", released.retry_at))


def overloaded(wait_s: float) -> Overloaded:
    """Return the refusal of a request that cannot be finished in time."""
    return Overloaded(
        "the request cannot be finished before its deadline",
        retry_after_ms=max(1, int(wait_s * 1000)),
    )


def _count_refusal(exc: JackdawsillError) -> Count:
    return Count("queries_refused", 1.0, (("error", type(exc).__name__),))


def _check_caller(state: HostState, request: QueryArrived) -> tuple[Caller, Route]:
    """Check the phase of the host, the token, the route and the entitlement.

    A refusal is raised as the error that the caller receives.
    """
    lifecycle = state.component(HostLifecycle)
    if not lifecycle.accepts_requests():
        if lifecycle.phase_ is HostPhase.JOINING:
            raise NotReady("the host is joining the fleet", retry_after_ms=1000)
        raise HostStopping("the host is stopping", retry_after_ms=0)
    objects: ObjectSet | None = state.objects_
    if objects is None:
        raise NotReady("the host has no object set yet", retry_after_ms=1000)
    caller = objects.caller_by_token(request.token)
    if caller is None:
        raise BadToken("the bearer token belongs to no caller")
    route = objects.routes.get(request.route)
    if route is None:
        raise NoRoute(f"route {request.route!r} does not exist")
    if not objects.may_query(caller, route):
        raise NotEntitled(f"caller {caller.name} may not use route {route.name}")
    return caller, route


def _check_headers(request: QueryArrived, route: Route) -> float:
    """Check the request id; return the time until the deadline in seconds."""
    if not REQUEST_ID_PATTERN.fullmatch(request.request_id):
        raise BadHeader(
            "X-Request-Id must consist of 1 to 64 letters, digits and . _ ~ -"
        )
    if request.deadline_s is None:
        return route.deadline_ms / 1000
    if not math.isfinite(request.deadline_s) or request.deadline_s <= 0:
        raise BadHeader("X-Deadline-Ms must be a positive number")
    return min(request.deadline_s, MAX_DEADLINE_S)


def _check_admission(
    state: HostState, route: Route, caller: Caller, deadline_at: float, now: float
) -> None:
    queue = state.component(AdmissionQueue)
    if queue.objects_ is not state.objects_:
        queue.set_objects(state.objects_)
    decision, wait_s = queue.predict(route.group, caller.department, deadline_at, now)
    if decision is AdmissionDecision.REFUSED:
        raise overloaded(wait_s)


def _check_body(state: HostState, request: QueryArrived, now: float) -> str:
    """Check that the body is a JSON object; return the fingerprint of the request."""
    try:
        body = msgspec.json.decode(request.body)
        canonical = msgspec.json.encode(body, order="deterministic")
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise BadBody(f"the body is not JSON: {exc}") from None
    if not isinstance(body, dict):
        raise BadBody("the body is not a JSON object")
    fingerprint = request_fingerprint(request.route, canonical)
    if state.component(Quarantine).check(fingerprint, now) is Verdict.CONDEMNED:
        raise Condemned("the request crashed backend servers")
    return fingerprint


def _new_query(
    request: QueryArrived,
    caller: Caller,
    route: Route,
    fingerprint: str,
    deadline_s: float,
    now: float,
) -> Query:
    policy = request.policy or caller.policy
    margin_s = ANSWER_MARGIN_S if policy == "latency" else COVERAGE_MARGIN_S
    # At least half of a very short deadline is left for the work.
    cutoff_s = max(deadline_s - margin_s, deadline_s / 2)
    return Query(
        request,
        caller,
        route,
        policy,
        fingerprint,
        now,
        now + deadline_s,
        now + cutoff_s,
    )
