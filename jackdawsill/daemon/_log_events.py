"""Log events of the daemon."""

import logbook

from jackdawsill.logs import register_log_event

STARTED = register_log_event(
    5000,
    "host-started",
    "host {name} listens: callers {caller_port}, operators {operator_port}, "
    "peers {peer_port}",
    "All ports of the host are open.",
)
STOPPED = register_log_event(
    5001, "host-stopped", "host {name} ended", "The host wrote its last reply."
)
BAD_CALLER_INPUT = register_log_event(
    5004,
    "bad-caller-input",
    "request refused: {code} {detail}",
    "A caller's request was not valid.",
    logbook.NOTICE,
)
BAD_ANSWER = register_log_event(
    5005,
    "bad-answer",
    "answer of {replica} for shard {shard} discarded: {detail}",
    "A backend server's answer did not check.",
    logbook.WARNING,
)
HOST_LIST_FAILED = register_log_event(
    5007,
    "host-list-failed",
    "host list not read: {detail}",
    "The platform's host list did not answer or its answer did not check.",
    logbook.WARNING,
)
HOST_LIST_BACK = register_log_event(
    5012,
    "host-list-back",
    "host list is read again",
    "The platform's host list answers after failed reads.",
)
NO_REPLY = register_log_event(
    5008,
    "no-reply",
    "no reply to query {query_id} within {limit_s} s",
    "No component replied to a request; the caller got outcome_unknown.",
    logbook.ERROR,
)
LATE_REPLY = register_log_event(
    5009,
    "reply-without-caller",
    "reply to query {query_id} dropped: no caller waits for it",
    "A reply was made for a request that has ended.",
    logbook.DEBUG,
)
START_FAILED = register_log_event(
    5011,
    "start-failed",
    "host {name} did not start: {detail}",
    "A port of the settings could not be opened.",
    logbook.ERROR,
)
