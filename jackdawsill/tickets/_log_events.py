"""Log events of requests that are not idempotent."""

import logbook

from jackdawsill.logs import register_log_event

OUTCOME_UNKNOWN = register_log_event(
    3001,
    "ticket_outcome_unknown",
    "request {request_id} to {replica} ended with {kind}",
    "A request that is not idempotent may or may not have run.",
    logbook.WARNING,
)
MEMORY_FULL = register_log_event(
    3002,
    "ticket_memory_full",
    "unused tickets below serial {void_below} are void: {reason}",
    "Ticket memory is full; unused tickets are refused as not run.",
    logbook.WARNING,
)
HANDOVER_SENT = register_log_event(
    3003,
    "ticket_handover_sent",
    "ticket handover of {n_chunks} chunks sent to {successor}",
    "This host stopped deciding on tickets and sent them to its successor.",
)
HANDOVER_INSTALLED = register_log_event(
    3004,
    "ticket_handover_installed",
    "tickets of {incarnations} installed from the handover of {sender}",
    "This host now decides on the tickets of stopped hosts.",
)
HANDOVER_REFUSED = register_log_event(
    3005,
    "ticket_handover_refused",
    "ticket handover of {sender} refused: {reason}",
    "Requests with tickets of the stopping host will give outcome_unknown.",
    logbook.WARNING,
)
CALLER_CONFLICT = register_log_event(
    3006,
    "ticket_body_mismatch",
    "caller {caller} used serial {serial} with another body",
    "A caller used one ticket for two different requests.",
    logbook.WARNING,
)
