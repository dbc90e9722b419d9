"""Sending of attempts: the first one of each part, hedges and retries."""

from jackdawsill.core import Count, Effect, HostState, SetTimer
from jackdawsill.forwarding._budget import RetryBudget
from jackdawsill.forwarding._calls import Attempt, Call, CallTable, Part
from jackdawsill.forwarding._delegates import DELEGATE_LATE_S
from jackdawsill.forwarding._effects import SendAttempt
from jackdawsill.forwarding._model import ForwardRoute
from jackdawsill.forwarding._policy import (
    HEDGE_DEFAULT_FRACTION,
    HEDGE_DELAY_FACTOR,
    HEDGE_MIN_S,
    HEDGE_QUANTILE,
    N_NOT_RUN_MAX,
    TYPICAL_DEFAULT_FRACTION,
    TYPICAL_MIN_S,
)
from jackdawsill.forwarding._registry import ReplicaRegistry
from jackdawsill.forwarding._warming import connection_limit


def typical_s(state: HostState, route: ForwardRoute) -> float:
    """Return the median latency of a route's attempts, without the round trip."""
    default = TYPICAL_DEFAULT_FRACTION * route.objective_s
    return max(
        TYPICAL_MIN_S, state.component(CallTable).window(route).quantile(0.5, default)
    )


def hedge_delay_s(state: HostState, route: ForwardRoute) -> float:
    """Return the latency, without the round trip, after which a part is hedged."""
    default = HEDGE_DEFAULT_FRACTION * route.objective_s
    window = state.component(CallTable).window(route)
    # The default is divided here, because the factor is applied to the result.
    quantile_s = window.quantile(HEDGE_QUANTILE, default / HEDGE_DELAY_FACTOR)
    return max(HEDGE_MIN_S, HEDGE_DELAY_FACTOR * quantile_s)


def send_first(state: HostState, part: Part, now: float) -> list[Effect]:
    """Send the first attempt of a part, or mark the part as failed."""
    state.component(RetryBudget).on_request(part.service, now)
    return _send(state, part, now, is_hedge=False)


def may_send_more(part: Part) -> bool:
    """Tell whether the route allows one more attempt of the part."""
    n_may_have_run = part.n_maybe_run + len(part.attempts)
    n_may_have_run += part.call.n_attempts_before
    return (
        n_may_have_run < part.call.route.n_attempts_max
        and part.n_not_run <= N_NOT_RUN_MAX
    )


def send_hedge(state: HostState, part: Part, now: float) -> list[Effect]:
    """Send a second attempt for a part whose first one is slow.

    The slow replica is marked as stalled even if no hedge is sent.
    """
    part.hedge_at = None
    call = part.call
    slow = next(iter(part.attempts.values()), None)
    if slow is None or part.is_done:
        return []
    if not state.component(CallTable).has_latency_samples(call.route):
        return []
    slow.replica.on_slow_attempt(now)
    if not call.route.idempotent or not may_send_more(part):
        return []
    # Only checks that another replica is left; `_send` picks the replica.
    if state.component(ReplicaRegistry).pick(
        part.service, part.tried, slow.typical_s, now, state.rng
    ) is None or not state.component(RetryBudget).try_spend(
        part.service, now, is_hedge=True
    ):
        call.n_withheld += 1
        return [Count("forwarding_hedges_withheld")]
    call.n_hedges += 1
    return [Count("forwarding_hedges_sent"), *_send(state, part, now, is_hedge=True)]


def send_retry(state: HostState, part: Part, now: float) -> list[Effect] | None:
    """Send another attempt after a failed one; None if no retry is possible."""
    call = part.call
    if not may_send_more(part) or now >= call.deadline_at:
        return None
    # Only checks that another replica is left; `_send` picks the replica.
    replica = state.component(ReplicaRegistry).pick(
        part.service, part.tried, typical_s(state, call.route), now, state.rng
    )
    if replica is None:
        return None
    if not state.component(RetryBudget).try_spend(part.service, now, is_hedge=False):
        part.outcome = "retry budget spent"
        return None
    call.n_retries += 1
    return [Count("forwarding_retries_sent"), *_send(state, part, now, is_hedge=False)]


def call_timer(call: Call, now: float) -> SetTimer:
    """Return the timer of the earliest time at which the call needs a decision."""
    at_s = call.deadline_at
    if now < call.objective_at < at_s:
        at_s = call.objective_at
    if (
        call.is_delegated
        and call.route.is_fanout
        and now < call.objective_at + DELEGATE_LATE_S < call.deadline_at
    ):
        at_s = call.objective_at + DELEGATE_LATE_S
    for part in call.parts:
        if part.hedge_at is not None and part.hedge_at < at_s:
            at_s = part.hedge_at
    return SetTimer(call.timer_id, at_s)


def _send(state: HostState, part: Part, now: float, *, is_hedge: bool) -> list[Effect]:
    call = part.call
    route = call.route
    registry = state.component(ReplicaRegistry)
    typical = typical_s(state, route)
    replica = registry.pick(part.service, part.tried, typical, now, state.rng)
    if replica is None:
        part.failed = True
        part.outcome = "no replica within its limit"
        if registry.available_at(part.service, now) <= now:
            part.outcome = "no replica"
        return []
    entry = replica.entry
    rtt_s = registry.rtt_s(entry.failure_domain)
    attempt = Attempt(state.next_id(), part, replica, now, typical, rtt_s, is_hedge)
    part.attempts[attempt.attempt_id] = attempt
    part.tried.add(entry.name)
    replica.in_flight += 1
    registry.take_slot(replica, now)
    state.component(CallTable).attempts_[attempt.attempt_id] = attempt
    if not is_hedge:
        if not call.hedge_delay_s:
            call.hedge_delay_s = hedge_delay_s(state, route)
        part.hedge_at = now + rtt_s + call.hedge_delay_s
    return [
        SendAttempt(
            attempt.attempt_id,
            call.req,
            entry.name,
            entry.incarnation,
            entry.address,
            call.deadline_at,
            route.idempotent,
            connection_limit(state, part.service, now),
        )
    ]
