"""Log events of a gateway process."""

import logbook

from jackdawsill.logs import register_log_event

GATEWAY_STARTED = register_log_event(
    5300,
    "gateway_started",
    "gateway is listening: callers {callers}, health {health}, peers {peers}",
    "All ports are open; the host reads the store next.",
    logbook.NOTICE,
)
GATEWAY_STOPPING = register_log_event(
    5301,
    "gateway_stopping",
    "gateway received a stop request with {n_calls} callers' calls in progress",
    "The health check fails from now on; calls are still accepted.",
    logbook.NOTICE,
)
GATEWAY_STOPPED = register_log_event(
    5302, "gateway_stopped", "gateway stopped", "All connections are closed."
)
GATEWAY_RELOADED = register_log_event(
    5303,
    "gateway_reloaded",
    "settings reloaded: {n_applied} applied, {n_waiting} wait for a restart",
    "The settings file has changed or SIGHUP was received. `applied` has the old and "
    "the new value of each changed setting.",
    logbook.NOTICE,
)
BAD_CALL = register_log_event(
    5304,
    "bad_call",
    "rejected a caller's request: {detail}",
    "The request was malformed, too large or too slow.",
    logbook.NOTICE,
)
BAD_ENTRY = register_log_event(
    5306,
    "bad_entry",
    "ignored store entry {key}: {detail}",
    "The value of the key is not a valid replica or configuration.",
    logbook.WARNING,
)
GATEWAY_NOT_STARTED = register_log_event(
    5307,
    "gateway_not_started",
    "gateway cannot start: {detail}",
    "The settings are invalid or a port is in use.",
    logbook.ERROR,
)
LINES_SUPPRESSED = register_log_event(
    5308,
    "lines_suppressed",
    "{n} lines of event {event} were suppressed",
    "The rate limit of the event was exceeded; metrics count every occurrence.",
    logbook.NOTICE,
)
RELOAD_REJECTED = register_log_event(
    5309,
    "reload_rejected",
    "kept the settings in use: {detail}",
    "The settings file is invalid, unreadable or not completely written; one line for "
    "each problem.",
    logbook.ERROR,
)
OPERATOR_REQUEST_FAILED = register_log_event(
    5310,
    "operator_request_failed",
    "request of an operator for {target} failed: {detail}",
    "The host could not render its status or metrics; it replied with status 500.",
    logbook.ERROR,
)
FOLLOWER_FAILED = register_log_event(
    5311,
    "follower_failed",
    "an answer of the platform's store could not be handled: {detail}",
    "The host reads the store again after a delay. This is a fault of this program.",
    logbook.ERROR,
)
CONNECTION_CLOSED = register_log_event(
    5312,
    "caller_connection_closed",
    "closed a caller's connection, as there are more than the settings allow",
    "Of the connections without a request, the one that was idle for longest.",
    logbook.NOTICE,
)
