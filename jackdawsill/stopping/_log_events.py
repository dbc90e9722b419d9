"""Log events of the host lifecycle."""

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
    "{n} pending requests dropped at the end of the handover phase",
    "Requests were still pending at the time limit of the handover phase.",
    logbook.WARNING,
)
HANDOVER_LOST = register_log_event(
    4303,
    "handover_lost",
    "handover not acknowledged (successor: {successor}): {reason}",
    "The host exits. Requests with its tickets are refused with outcome_unknown unless "
    "the successor received their state.",
    logbook.WARNING,
)
STOP_REPEATED = register_log_event(
    4304,
    "stop_repeated",
    "stop requested again in phase {phase}",
    "A stop is already in progress; the request is ignored.",
)
