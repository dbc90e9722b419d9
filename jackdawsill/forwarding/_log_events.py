"""Log events of forwarded calls."""

import logbook

from jackdawsill.logs import register_log_event

CALL_ENDED = register_log_event(
    2500,
    "call_ended",
    "call {request} on {route}: {outcome} after {elapsed_ms} ms",
    "A call got its reply, or its caller left; the fields tell which configuration "
    "decided, how many parts answered, and what became of the others.",
)
CALL_UNROUTED = register_log_event(
    2501,
    "call_unrouted",
    "call {request} for {host_name} {target}: {outcome}",
    "No configuration was known, or none of its routes matched.",
)
ATTEMPT_FAILED = register_log_event(
    2502,
    "attempt_failed",
    "attempt of {request} on {replica} failed: {outcome}",
    "A replica refused or failed an attempt, or its connection was lost.",
)
REPLICA_EJECTED = register_log_event(
    2503,
    "replica_backed_off",
    "replica {replica} is avoided for {backoff_s} s after {kind}",
    "Attempts on the replica failed; it is probed after the backoff.",
    logbook.NOTICE,
)
ROUTES_ACCEPTED = register_log_event(
    2504,
    "routes_accepted",
    "configuration {version} is in force, before {before}",
    "A newer version of the configuration replaced the one in force.",
    logbook.NOTICE,
)
REPLICAS_LISTED = register_log_event(
    2505,
    "replicas_listed",
    "replicas read at revision {revision}: {n_now}, before {n_before}",
    "The complete list of replicas was read.",
)
REPLICAS_CHANGED = register_log_event(
    2506,
    "replicas_changed",
    "replicas changed at revision {revision}: {n_now} now",
    "Entries of replicas were written or removed.",
)
REPLICAS_EXPIRED = register_log_event(
    2507,
    "replicas_expired",
    "{n} replicas did not register again after the store's return",
    "Entries that expired while the store was away are taken as gone.",
    logbook.NOTICE,
)
STORE_LOST = register_log_event(
    2508,
    "store_lost",
    "the platform's store does not answer: {detail}",
    "The host goes on with the routes and replicas that it knows.",
    logbook.WARNING,
)
STORE_REGAINED = register_log_event(
    2509,
    "store_regained",
    "the platform's store answers again after {away_s} s",
    "Routes and replicas are current again.",
    logbook.NOTICE,
)
PAUSE_NOTICED = register_log_event(
    2510,
    "pause_noticed",
    "the process did not run for {gap_s} s",
    "Connections and beliefs from before the pause are checked again.",
    logbook.WARNING,
)
PHASE_CHANGED = register_log_event(
    2511,
    "gateway_phase",
    "phase {before} ends, {after} begins",
    "The gateway moved on between start and stop.",
    logbook.NOTICE,
)
REQUEST_CONDEMNED = register_log_event(
    2512,
    "request_condemned",
    "requests like {fingerprint} crashed {replica} and others, and are refused",
    "The same request crashed several replicas; it is not sent to any other.",
    logbook.WARNING,
)
