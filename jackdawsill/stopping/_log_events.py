"""Log events of the start and stop of a host."""

import logbook

from jackdawsill.logs import register_log_event

PHASE_CHANGED = register_log_event(
    4301,
    "phase_changed",
    "phase {before} ended, phase {after} began",
    "The host moved to the next phase of its start or stop.",
)
DRAIN_INCOMPLETE = register_log_event(
    4302,
    "drain_incomplete",
    "{n} requests still pending at the end of the stop",
    "Requests were still pending when the latest deadline had passed.",
    logbook.WARNING,
)
HANDOVER_LOST = register_log_event(
    4303,
    "handover_lost",
    "handover to {successor} was not acknowledged: {reason}",
    "The host exits; its tickets give outcome_unknown unless the successor has them.",
    logbook.WARNING,
)
STOP_REPEATED = register_log_event(
    4304,
    "stop_repeated",
    "stop requested again in phase {phase}",
    "A stop is already in progress; the request is ignored.",
)
