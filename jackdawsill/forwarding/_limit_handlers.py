"""Handlers of the limits that replicas state, learned from answers and from peers.

It answers a large fleet in which each host sends few requests to a replica: hosts that
learned a limit only from their own first answers would exceed it by these attempts.
"""

from jackdawsill.core import Effect, EmitEvent, HostState, LogEvent, handles
from jackdawsill.forwarding import _log_events as log_events
from jackdawsill.forwarding._events import PEER, LimitRecorded, LimitReported
from jackdawsill.forwarding._rate_share import update_share
from jackdawsill.forwarding._registry import ReplicaRegistry
from jackdawsill.forwarding._replica import LiveReplica

# A peer's statement is used if it is later by more than this. Its age does not include
# the time on the way, so statements could otherwise replace each other in a circle.
STATEMENT_MARGIN_S = 0.3


def take_limit(
    state: HostState,
    replica: LiveReplica,
    limit_per_s: float | None,
    *,
    sent_at: float,
    request_id: str,
    may_end_for_peers: bool,
    now: float,
) -> list[Effect]:
    """Take over the limit in an answer to an attempt, or its end, and report a change.

    Peers are told that a limit ended only with `may_end_for_peers`.
    """
    is_changed, effects = _set_limit(
        state, replica, limit_per_s, sent_at, request_id, now
    )
    if is_changed and (limit_per_s is not None or may_end_for_peers):
        effects.append(_recorded(replica, limit_per_s, now))
    return effects


@handles(LimitReported, needs=ReplicaRegistry)
def on_reported(state: HostState, event: LimitReported, now: float) -> list[Effect]:
    """Take over a limit, or its end, that a replica stated to another host."""
    replica = state.component(ReplicaRegistry).replicas_.get(event.replica)
    if replica is None or replica.entry.incarnation != event.incarnation:
        return []
    stated_at = now - event.age_s
    if stated_at <= replica.limit_known_at + STATEMENT_MARGIN_S:
        return []
    is_changed, effects = _set_limit(
        state, replica, event.limit_per_s, stated_at, None, now
    )
    if is_changed:
        effects.append(_recorded(replica, event.limit_per_s, now))
    return effects


def _recorded(replica: LiveReplica, limit_per_s: float | None, now: float) -> EmitEvent:
    """Return the event that reports the latest statement to the peers."""
    entry, age_s = replica.entry, max(0.0, now - replica.limit_known_at)
    return EmitEvent(LimitRecorded(entry.name, entry.incarnation, limit_per_s, age_s))


def _set_limit(
    state: HostState,
    replica: LiveReplica,
    limit_per_s: float | None,
    stated_at: float,
    request_id: str | None,
    now: float,
) -> tuple[bool, list[Effect]]:
    """Set the limit; return whether it changed, and the effects."""
    before = replica.rate_share
    limit_before = None if before is None else before.limit_per_s
    shares = state.component(ReplicaRegistry).limit_shares
    n_hosts = shares.divisor(replica.entry.service, now)
    share = update_share(before, limit_per_s, stated_at, n_hosts, now, state.rng)
    replica.rate_share = share
    replica.limit_known_at = max(replica.limit_known_at, stated_at)
    limit = None if share is None else share.limit_per_s
    if limit == limit_before:
        return False, []
    fields = {
        "replica": replica.entry.name,
        "service": replica.entry.service,
        "request": request_id,
        "source": PEER if request_id is None else "answer",
        "limit_per_s": limit,
        "before": limit_before,
        "n_hosts": n_hosts,
    }
    return True, [LogEvent(log_events.LIMIT_CHANGED, fields)]
