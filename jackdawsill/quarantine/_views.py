"""Operator views of suspected and condemned fingerprints."""

from typing import Any

from jackdawsill.core import HostState, explain_section, seconds_left, status_section
from jackdawsill.quarantine._quarantine import SUSPICION_TTL_S, Quarantine, Verdict

# Limits the length of the status when many fingerprints are suspected.
MAX_SHOWN = 20

TREATMENTS = {
    Verdict.CLEAR: "run as usual",
    Verdict.SUSPECT: "run one sub-request at a time, alone on its replica",
    Verdict.CONDEMNED: "refused with JDS-2007",
}


@status_section("quarantine")
def quarantine_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the condemned fingerprints and the number of suspected ones."""
    quarantine = state.components_.get(Quarantine)
    if quarantine is None:
        return {}
    condemned = [
        {"fingerprint": name, "refused_for_s": seconds_left(until, now)}
        for name, until in quarantine.condemned_.items()
        if until > now
    ]
    fingerprints = [*quarantine.strong_suspicions_, *quarantine.weak_suspicions_]
    suspected = [f for f in fingerprints if quarantine.check(f, now) is Verdict.SUSPECT]
    return {
        "n_condemned": len(condemned),
        "n_suspected": len(suspected),
        "condemned": condemned[-MAX_SHOWN:],
        "suspected": suspected[:MAX_SHOWN],
    }


@explain_section("fingerprint", "quarantine")
def explain_fingerprint(
    state: HostState, name: str, now: float
) -> dict[str, Any] | None:
    """Return the verdict on a fingerprint and its evidence; None without evidence."""
    quarantine = state.components_.get(Quarantine)
    if quarantine is None:
        return None
    verdict = quarantine.check(name, now)
    until = quarantine.condemned_.get(name)
    suspicion = quarantine.strong_suspicions_.get(
        name
    ) or quarantine.weak_suspicions_.get(name)
    if until is None and suspicion is None:
        return None
    expires_at = None if suspicion is None else suspicion.changed_at + SUSPICION_TTL_S
    return {
        "verdict": str(verdict),
        "treatment": TREATMENTS[verdict],
        "refused_for_s": seconds_left(until, now),
        "suspected_for_s": seconds_left(expires_at, now),
        "cleared_by_canary": suspicion is not None and suspicion.cleared_at is not None,
        "crashes": [
            {
                "replica": crash.replica,
                "failure_domain": crash.failure_domain,
                "seconds_ago": round(now - crash.at, 1),
                "alone": crash.alone,
                "canary": crash.canary,
            }
            for crash in (suspicion.crashes if suspicion else ())
        ],
    }
