"""Log events of forwarded calls."""

import logbook

from jackdawsill.logs import register_log_event

CALL_ENDED = register_log_event(
    2500,
    "call_ended",
    "call {request} on {route}: {outcome} after {elapsed_ms} ms",
    "A call was answered or refused, or its caller left. The fields give the version "
    "of the configuration, the number of answered parts and the state of the others.",
)
CALL_UNROUTED = register_log_event(
    2501,
    "call_unrouted",
    "call {request} for {host_name} {target}: {outcome}",
    "No configuration has been read, or none of its routes matches the call.",
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
    "replica {replica} ejected for {backoff_s} s: {kind}",
    "Attempts on the replica failed; one call probes it after the backoff.",
    logbook.NOTICE,
)
ROUTES_ACCEPTED = register_log_event(
    2504,
    "routes_accepted",
    "configuration {version} accepted, previous version {before}",
    "A newer version of the configuration replaced the accepted one.",
    logbook.NOTICE,
)
REPLICAS_LISTED = register_log_event(
    2505,
    "replicas_listed",
    "replica list read at revision {revision}: {n_now} replicas, before {n_before}",
    "The complete list of replicas was read; entries of `older` were written before "
    "the known ones and ignored. Those of `held_back` are of replicas that had left "
    "before the store returned from a copy, and are not used until written again.",
)
REPLICAS_CHANGED = register_log_event(
    2506,
    "replicas_changed",
    "replicas changed at revision {revision}, {n_now} now",
    "Entries of replicas were written or removed.",
)
REPLICAS_EXPIRED = register_log_event(
    2507,
    "replicas_expired",
    "{n} replicas removed: not registered again after the store became reachable",
    "Their entries expired while the store was unreachable; they are removed.",
    logbook.NOTICE,
)
STORE_LOST = register_log_event(
    2508,
    "store_lost",
    "the platform's store is unreachable: {detail}",
    "The host keeps using the routes and replicas that it knows.",
    logbook.WARNING,
)
STORE_REGAINED = register_log_event(
    2509,
    "store_regained",
    "the platform's store is reachable again after {away_s} s",
    "Routes and replicas are updated again.",
    logbook.NOTICE,
)
PAUSE_NOTICED = register_log_event(
    2510,
    "pause_noticed",
    "the process did not run for {gap_s} s",
    "Idle connections are closed, and routes and replicas are read again.",
    logbook.WARNING,
)
PHASE_CHANGED = register_log_event(
    2511,
    "gateway_phase",
    "gateway phase changed from {before} to {after}",
    "The gateway entered the next phase between its start and its exit.",
    logbook.NOTICE,
)
REQUEST_CONDEMNED = register_log_event(
    2512,
    "request_condemned",
    "requests with fingerprint {fingerprint} are refused: they crashed several "
    "replicas, last {replica}",
    "The same request crashed several replicas; it is not sent to another one.",
    logbook.WARNING,
)
LIMIT_CHANGED = register_log_event(
    2513,
    "limit_changed",
    "replica {replica} takes {limit_per_s} requests a second, before {before}",
    "The replica stated how many requests it takes from all hosts together, or no "
    "longer states a limit, in an answer to this host or, by `source`, to a peer. This "
    "host takes one of `n_hosts` shares.",
    logbook.NOTICE,
)
HISTORY_LOST = register_log_event(
    2514,
    "history_lost",
    "the platform's store no longer has the changes after revision {revision}",
    "All routes and replicas are read again. The store drops old history, and may have "
    "returned from a copy.",
    logbook.NOTICE,
)
STORE_ANSWER_TOO_LONG = register_log_event(
    2531,
    "store_answer_too_long",
    "the store's changes are too long for one answer: {detail}",
    "All routes and replicas are read instead, in smaller answers. Many large versions "
    "were written since the last answer, or the way to the store is narrow.",
    logbook.WARNING,
)
STORE_RESTORED = register_log_event(
    2515,
    "store_restored",
    "the platform's store has returned from a copy: era {era}, revision {revision}, "
    "before era {before}, revision {revision_before}",
    "What was written to the store after the copy was made is lost until its writers "
    "write it again; revisions are given again.",
    logbook.WARNING,
)
CRASH_RECORDED = register_log_event(
    2516,
    "crash_recorded",
    "replica {replica} crashed while it ran {request}: {n_crashes} crashes in "
    "{n_calls} calls of the same request",
    "A crash was confirmed here or reported by a peer, and counts as evidence against "
    "the request.",
    logbook.NOTICE,
)
CRASH_REFUTED = register_log_event(
    2517,
    "crash_refuted",
    "replica {replica} answers, so it did not crash under requests with fingerprint "
    "{fingerprint}",
    "A reported crash does not count as evidence against the request any more.",
    logbook.NOTICE,
)
HOST_CUT_OFF = register_log_event(
    2518,
    "host_cut_off",
    "no replica can be reached: connections to {checked} failed, last answer "
    "{silent_s} s ago",
    "Connections to several replicas failed, and then those to a few others. Calls go "
    "through other hosts until a connection opens again.",
    logbook.WARNING,
)
HOST_LINKED = register_log_event(
    2519,
    "host_linked",
    "replicas can be reached again after {cut_s} s, first {replica}",
    "A connection to a replica opened. What connections failed meanwhile is not held "
    "against the replicas.",
    logbook.NOTICE,
)
CALL_DIVERTED = register_log_event(
    2520,
    "call_diverted",
    "call {request} goes through host {delegate}",
    "This host is cut off from the replicas, or has an older configuration than one "
    "that was shown to its callers, so another one runs the call.",
)
REPLICA_HELD = register_log_event(
    2521,
    "replica_held",
    "replica {replica} asked this host for {hold_s} s in its answer to {request}",
    "The replica refused an attempt with a time until which it wants no other. It gets "
    "none from this host before, also no probe or retry.",
    logbook.NOTICE,
)
REPLICA_HOLD_ENDED = register_log_event(
    2522,
    "replica_hold_ended",
    "the time that replica {replica} asked for has ended",
    "The replica may get attempts again, unless it is no longer known.",
)
REPLICA_LEAVING = register_log_event(
    2523,
    "replica_leaving",
    "replica {replica} leaves, as told by {source} {request}",
    "The replica said so in an answer to this host, or a peer reports it. Its process "
    "gets nothing new, whatever its entry says.",
    logbook.NOTICE,
)
SIGNAL_INVALID = register_log_event(
    2524,
    "signal_invalid",
    "replica {replica} said what was not understood in its answer to {request}: "
    "{problem}",
    "A header by which a replica says that it leaves or needs time has no valid value. "
    "A time over the bound counts as the bound, other values are ignored.",
    logbook.WARNING,
)
VERSION_REQUIRED = register_log_event(
    2525,
    "version_required",
    "calls must be handled by configuration {version}, which {delegate} has",
    "This host reaches no replica, and a host that runs its calls has a later "
    "configuration. From now on nothing is handled by an older one; until this host "
    "has read it, other hosts run all its calls.",
    logbook.NOTICE,
)
