"""Log events of queries."""

import logbook

from jackdawsill.logs import register_log_event

QUERY_RESTARTED = register_log_event(
    2000,
    "query_restarted",
    "query {request_id} restarts on {new}: {n_declined} shards of {old} were declined",
    "replicas no longer serve the snapshot that the query was bound to",
)
REPLICA_CRASHED = register_log_event(
    2001,
    "replica_crashed",
    "connection to replica {replica} was lost with {n_requests} requests in flight",
    "the requests in flight are suspected and are retried as canaries",
    logbook.WARNING,
)
REQUEST_CONDEMNED = register_log_event(
    2002,
    "request_condemned",
    "requests with fingerprint {fingerprint} are refused after a crash of {replica}",
    "all hosts refuse the request until the condemnation expires",
    logbook.WARNING,
)
BAD_ANSWER = register_log_event(
    2003,
    "bad_answer",
    "replica {replica} answered for another {field}",
    "the answer was discarded and counted as a failed sub-request",
    logbook.WARNING,
)
