"""Step 1: check a request and offer it to the admission queue."""

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

# A partial answer is given this long before the deadline, so that it arrives in
# time. Coverage-first callers wait longer for missing shards.
ANSWER_MARGIN_S = 0.015
COVERAGE_MARGIN_S = 0.005
# A planned stop waits for the longest deadline.
MAX_DEADLINE_S = 30.0
# Request ids become a part of the path of a cancel request.
REQUEST_ID = re.compile(r"[A-Za-z0-9._~-]{1,64}")


def admit(
    state: HostState, request: QueryArrived, now: float, out: list[Effect]
) -> None:
    """Check a request, then start, queue or refuse it."""
    try:
        caller, route = _check_caller(state, request)
        deadline_s = _check_headers(request, route)
        if route.repeatable:
            # Refusing before the body is parsed keeps overload cheap.
            _check_room(state, route, caller, now + deadline_s, now)
        mark = _check_body(state, request, now)
    except JackdawsillError as exc:
        mark_refusal_unknown(request, exc)
        out.append(SendRefusal(request.query_id, exc))
        out.append(_refused(exc))
        return
    if not route.repeatable:
        out.extend(state.component(TicketManager).on_request(state, request, now))
        return
    query = _query(request, caller, route, mark, deadline_s, now)
    _offer(state, query, now, out)


def _offer(state: HostState, query: Query, now: float, out: list[Effect]) -> None:
    queue = state.component(AdmissionQueue)
    offer, wait_s = queue.submit(
        query.route.group,
        query.caller.department,
        query.query_id,
        query.deadline_at,
        now,
    )
    if offer is AdmissionDecision.REFUSED:
        exc = overloaded(wait_s)
        out.append(SendRefusal(query.query_id, exc))
        out.append(_refused(exc))
        return
    state.component(QueryTable).add(query)
    out.append(SetTimer(query.end_timer(), query.cutoff_at))
    if offer is AdmissionDecision.START:
        query.is_admitted = True
        out.append(EmitEvent(QueryStarted(query.query_id)))
        return
    group = query.route.group
    apply_released(state, queue.start_next(group, now), group, out)


def apply_released(
    state: HostState, released: ReleasedQueries, group: str, out: list[Effect]
) -> None:
    """Start the queries that the admission queue lets run."""
    queries = state.component(QueryTable).queries_
    for query_id in released.expired:
        out.append(EmitEvent(QueryExpired(query_id)))
    for query_id in released.started:
        queries[query_id].is_admitted = True
        out.append(EmitEvent(QueryStarted(query_id)))
    if released.retry_at is not None:
        out.append(SetTimer(f"query:admit:{group}", released.retry_at))


def overloaded(wait_s: float) -> Overloaded:
    """Return the refusal of a request that cannot be finished in time."""
    return Overloaded(
        "the request cannot be finished before its deadline",
        retry_after_ms=max(1, int(wait_s * 1000)),
    )


def _refused(exc: JackdawsillError) -> Count:
    return Count("queries_refused", 1.0, (("error", type(exc).__name__),))


def _check_caller(state: HostState, request: QueryArrived) -> tuple[Caller, Route]:
    """Check the phase of the host, the token, the route and the entitlement."""
    stopping = state.component(HostLifecycle)
    if not stopping.accepts_requests():
        if stopping.phase_ is HostPhase.JOINING:
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
        raise NoRoute(f"there is no route {request.route!r}")
    if not objects.may_query(caller, route):
        raise NotEntitled(f"caller {caller.name} may not use route {route.name}")
    return caller, route


def _check_headers(request: QueryArrived, route: Route) -> float:
    """Check the request id; return the time until the deadline in seconds."""
    if not REQUEST_ID.fullmatch(request.request_id):
        raise BadHeader("X-Request-Id takes 1 to 64 letters, digits and . _ ~ -")
    if request.deadline_s is None:
        return route.deadline_ms / 1000
    if not math.isfinite(request.deadline_s) or request.deadline_s <= 0:
        raise BadHeader("X-Deadline-Ms takes a positive number")
    return min(request.deadline_s, MAX_DEADLINE_S)


def _check_room(
    state: HostState, route: Route, caller: Caller, deadline_at: float, now: float
) -> None:
    queue = state.component(AdmissionQueue)
    if queue.objects_ is not state.objects_:
        queue.set_objects(state.objects_)
    offer, wait_s = queue.predict(route.group, caller.department, deadline_at, now)
    if offer is AdmissionDecision.REFUSED:
        raise overloaded(wait_s)


def _check_body(state: HostState, request: QueryArrived, now: float) -> str:
    """Check that the body is a JSON object; return the fingerprint."""
    try:
        body = msgspec.json.decode(request.body)
        normal = msgspec.json.encode(body, order="deterministic")
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise BadBody(f"the body is not JSON: {exc}") from None
    if not isinstance(body, dict):
        raise BadBody("the body is not a JSON object")
    mark = request_fingerprint(request.route, normal)
    if state.component(Quarantine).check(mark, now) is Verdict.CONDEMNED:
        raise Condemned("the request crashed backend servers")
    return mark


def _query(
    request: QueryArrived,
    caller: Caller,
    route: Route,
    mark: str,
    deadline_s: float,
    now: float,
) -> Query:
    policy = request.policy or caller.policy
    margin_s = ANSWER_MARGIN_S if policy == "latency" else COVERAGE_MARGIN_S
    # A very short deadline is split instead of being used up by the margin.
    cutoff_s = max(deadline_s - margin_s, deadline_s / 2)
    return Query(
        request, caller, route, policy, mark, now, now + deadline_s, now + cutoff_s
    )
