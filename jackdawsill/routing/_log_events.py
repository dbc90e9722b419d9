"""Log events of routing."""

from jackdawsill.logs import register_log_event

REPLICA_LEAVING = register_log_event(
    2100,
    "replica_leaving",
    "replica {replica} is leaving ({source})",
    "no new sub-request is sent to the replica until the leaving mark expires",
)
REPLICA_EJECTED = register_log_event(
    2101,
    "replica_ejected",
    "replica {replica} is ejected for {backoff_s} s (failure kind: {kind})",
    "the replica failed and is probed with one sub-request after the backoff",
)
