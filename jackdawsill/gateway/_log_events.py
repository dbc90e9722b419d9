"""Log events of a gateway process."""

import logbook

from jackdawsill.logs import register_log_event

GATEWAY_STARTED = register_log_event(
    5300,
    "gateway_started",
    "the gateway listens: callers {callers}, health {health}, peers {peers}",
    "All ports are open; the store is read next.",
    logbook.NOTICE,
)
GATEWAY_STOPPING = register_log_event(
    5301,
    "gateway_stopping",
    "the gateway was asked to stop with {n_calls} calls in hand",
    "The health check fails from now on; calls are still served.",
    logbook.NOTICE,
)
GATEWAY_STOPPED = register_log_event(
    5302, "gateway_stopped", "the gateway ended", "All connections are closed."
)
GATEWAY_RELOADED = register_log_event(
    5303,
    "gateway_reloaded",
    "settings were read again: {outcome}",
    "The settings file changed or a reload was asked for.",
    logbook.NOTICE,
)
BAD_CALL = register_log_event(
    5304,
    "bad_call",
    "a request cannot be read: {detail}",
    "A caller's request was malformed, too large or too slow.",
    logbook.NOTICE,
)
BAD_ENTRY = register_log_event(
    5306,
    "bad_entry",
    "entry {key} is not used: {detail}",
    "What the store holds under a key does not describe a replica or routes.",
    logbook.WARNING,
)
START_REFUSED = register_log_event(
    5307,
    "gateway_not_started",
    "the gateway cannot start: {detail}",
    "The settings are not valid or a port is taken.",
    logbook.ERROR,
)
LINES_SUPPRESSED = register_log_event(
    5308,
    "lines_suppressed",
    "{n} lines of event {event} were left out",
    "The bound on the lines of one event was reached; the metrics count all.",
    logbook.NOTICE,
)
