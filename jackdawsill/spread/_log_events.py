"""Log events of the configuration spread."""

import logbook

from jackdawsill.logs import register_log_event

SET_ACCEPTED = register_log_event(
    4100,
    "set_accepted",
    "generation {generation} accepted, digest {digest}",
    "A verified object set is in force on this host.",
)
SET_REFUSED = register_log_event(
    4101,
    "set_refused",
    "generation {generation} from {source} refused: {error}",
    "A set was incomplete, corrupt or invalid; another source is tried.",
    logbook.WARNING,
)
SET_CONFLICT = register_log_event(
    4102,
    "set_conflict",
    "generation {generation} exists with digests {kept} (kept) and {refused}",
    "Two sets were published under one generation; publish a higher one.",
    logbook.ERROR,
)
SERVICE_STALE = register_log_event(
    4103,
    "service_stale",
    "the configuration service serves generation {generation}, {accepted} is accepted",
    "The configuration service lags; the accepted set stays.",
    logbook.WARNING,
)
SERVICE_UNREADABLE = register_log_event(
    4104,
    "service_unreadable",
    "manifest of the configuration service refused: {error}",
    "The published manifest is not valid.",
    logbook.ERROR,
)
SERVICE_FAILED = register_log_event(
    4105,
    "service_failed",
    "the configuration service does not answer: {detail}",
    "The accepted set stays; hosts go on to learn from their peers.",
    logbook.WARNING,
)
SERVICE_BACK = register_log_event(
    4106,
    "service_back",
    "the configuration service answers again",
    "Reads of the configuration service succeed again.",
)
JOINED = register_log_event(
    4107,
    "spread_joined",
    "ready with generation {generation}, confirmed: {confirmed}",
    "The host knows the newest generation that it could learn and may serve.",
)
CONFIRMED = register_log_event(
    4108,
    "generation_confirmed",
    "generation {generation} confirmed",
    "A peer or the configuration service knows no newer generation.",
)
