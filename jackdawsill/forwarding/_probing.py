"""Running one part of a fan-out alone if its request may crash replicas.

The load it answers: a request that crashes each replica that runs it would, with its
retries, crash every replica of all its shards at once. The part that runs alone (the
probe) costs an innocent request the time of one more attempt.
"""

from jackdawsill.core import Effect, HostState
from jackdawsill.forwarding._calls import Call, Part
from jackdawsill.forwarding._crashes import N_CRASHES_TO_SUSPECT, CrashEvidence
from jackdawsill.forwarding._dispatch import send_first, send_retry

HELD_OUTCOME = "not sent: the request may crash replicas"


def should_probe(state: HostState, call: Call, now: float) -> bool:
    """Tell whether a call whose attempts were lost must go on with one part alone."""
    if not call.route.is_fanout or call.is_delegated:
        return False
    if call.probe is not None or call.n_answered:
        return False
    evidence = state.component(CrashEvidence)
    return call.n_lost >= N_CRASHES_TO_SUSPECT or evidence.is_suspected(
        call.fingerprint, now
    )


def is_held(call: Call, part: Part) -> bool:
    """Tell whether a part waits for the probe of its call."""
    return call.probe is not None and part is not call.probe


def move_probe(state: HostState, call: Call, now: float) -> list[Effect]:
    """Probe with the next part that can be sent, after the present one was not run."""
    for part in call.parts:
        if part.is_done or part.attempts:
            continue
        call.probe = part
        sent = _send_held(state, part, now)
        if part.attempts:
            return sent
    return []


def release_held(state: HostState, call: Call, now: float) -> list[Effect]:
    """Send the parts that waited, after a replica has survived the probe."""
    call.probe = None
    effects: list[Effect] = []
    for part in call.parts:
        if not part.is_done and not part.attempts:
            effects += _send_held(state, part, now)
    return effects


def fail_held(call: Call) -> None:
    """Mark the parts that waited as failed, after the probe's replica was lost."""
    for part in call.parts:
        if not part.is_done and not part.attempts:
            part.failed = True
            part.outcome = HELD_OUTCOME


def _send_held(state: HostState, part: Part, now: float) -> list[Effect]:
    if not part.tried:
        return send_first(state, part, now)
    sent = send_retry(state, part, now)
    if sent is None:
        part.failed = True
        return []
    return sent
