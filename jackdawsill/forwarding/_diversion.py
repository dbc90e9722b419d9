"""Running calls through another host while this one must not run them.

It is cut off from all replicas, or has an older configuration than other hosts that ran
its calls while it was.
"""

from jackdawsill.core import Effect, HostState, LogEvent
from jackdawsill.forwarding import _errors as errors
from jackdawsill.forwarding import _log_events as log_events
from jackdawsill.forwarding._calls import Attempt, Call
from jackdawsill.forwarding._catalog import RouteCatalog
from jackdawsill.forwarding._delegates import DelegateTable, send_to_delegate
from jackdawsill.forwarding._dispatch import call_timer
from jackdawsill.forwarding._registry import ReplicaRegistry
from jackdawsill.forwarding._replies import refuse

# Hosts that one call may be sent to; those that are cut off too decline in one round
# trip.
N_HOSTS_MAX = 8
# Of these, hosts of the own failure domain that are asked first.
N_NEAR_HOSTS = 2
# When a caller is told to retry if no host reaches replicas, times a random factor
# between 1 and 2. Links are checked again within this time.
RETRY_AFTER_CUT_S = 0.5


def must_divert(state: HostState, call: Call) -> bool:
    """Tell whether this host must not run a call itself.

    A call of another host is run by the version that it states, whatever this host's
    own callers were shown.
    """
    if state.component(ReplicaRegistry).reach.is_cut:
        return True
    return state.component(RouteCatalog).is_behind and not call.is_for_peer


def follow_version(state: HostState, attempt: Attempt, version: int) -> list[Effect]:
    """Let a delegate that declined for its later version run this host's calls.

    Only if this host cannot run them itself. It then handles nothing by an older
    version any more, also once it reaches replicas again.
    """
    catalog = state.component(RouteCatalog)
    call = attempt.part.call
    if version <= catalog.required_version or not must_divert(state, call):
        return []
    fields = {
        "version": version,
        "before": catalog.required_version,
        "delegate": attempt.replica.entry.name,
    }
    catalog.shown_version_ = version
    attempt.replica.forget_failures()
    call.tried_hosts.discard(attempt.replica.entry.name)
    return [LogEvent(log_events.VERSION_REQUIRED, fields)]


def can_divert(call: Call) -> bool:
    """Tell whether a call may still run through another host.

    Its running attempts count as such that may have run.
    """
    n_running = max((len(part.attempts) for part in call.parts), default=0)
    has_attempts_left = call.n_attempts_used + n_running < call.route.n_attempts_max
    return has_attempts_left and not (
        call.is_ended or call.is_delegated or call.is_for_peer or call.n_answered
    )


def divert_or_refuse(state: HostState, call: Call, now: float) -> list[Effect]:
    """Send a call to a host that may reach replicas, or refuse it if there is none."""
    tried = call.tried_hosts
    delegate = None
    if len(tried) < N_HOSTS_MAX:
        delegate = state.component(DelegateTable).choose_any(
            state.failure_domain if len(tried) < N_NEAR_HOSTS else None,
            tried,
            now,
            state.rng,
            is_fanout=call.route.is_fanout,
            is_new=not call.n_attempts_used,
        )
    if delegate is None:
        seconds = RETRY_AFTER_CUT_S * (1.0 + state.rng.random())
        error = errors.HostCutOff(
            f"neither this host nor {len(tried)} others can run the call now",
            retry_after_ms=int(1000 * seconds),
        )
        return refuse(state, call, now, error)
    tried.add(delegate.entry.name)
    fields = {
        "request": call.req.request_id.decode("latin-1"),
        "delegate": delegate.entry.name,
    }
    return [
        LogEvent(log_events.CALL_DIVERTED, fields),
        *send_to_delegate(state, call, delegate, now),
        call_timer(call, now),
    ]
