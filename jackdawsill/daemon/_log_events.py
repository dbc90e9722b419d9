"""Log events of the daemon."""

import logbook

from jackdawsill.logs import register_log_event

STARTED = register_log_event(
    5000,
    "host-started",
    "host {name} listens on ports: callers {caller_port}, operators {operator_port}, "
    "peers {peer_port}",
    "All ports of the host are open.",
)
STOPPED = register_log_event(
    5001, "host-stopped", "host {name} stopped", "The host has written its last reply."
)
BAD_CALLER_INPUT = register_log_event(
    5004,
    "bad-caller-input",
    "request refused: {code} {detail}",
    "A request at the callers' or operators' port was refused.",
    logbook.NOTICE,
)
BAD_ANSWER = register_log_event(
    5005,
    "bad-answer",
    "answer of {replica} for shard {shard} discarded: {detail}",
    "An answer of a backend server failed validation.",
    logbook.WARNING,
)
HOST_LIST_FAILED = register_log_event(
    5007,
    "host-list-failed",
    "cannot read the host list: {detail}",
    "The platform's host list did not answer or its answer failed validation.",
    logbook.WARNING,
)
HOST_LIST_BACK = register_log_event(
    5012,
    "host-list-back",
    "host list can be read again",
    "The platform's host list answers after failed reads.",
)
HOST_ENTRY_INVALID = register_log_event(
    5014,
    "host-entry-invalid",
    "ignored an entry of the host list: {detail}",
    "Another writer left an entry that does not describe a host.",
    logbook.WARNING,
)
NO_REPLY = register_log_event(
    5008,
    "no-reply",
    "no reply to query {query_id} within {limit_s} s",
    "No component replied to a request; the caller was refused with outcome_unknown.",
    logbook.ERROR,
)
REPLY_WITHOUT_CALLER = register_log_event(
    5009,
    "reply-without-caller",
    "reply to query {query_id} dropped: no caller waits for it",
    "A reply was made for a request that had already ended.",
    logbook.DEBUG,
)
START_FAILED = register_log_event(
    5011,
    "start-failed",
    "host {name} did not start: {detail}",
    "A configured port could not be opened.",
    logbook.ERROR,
)
