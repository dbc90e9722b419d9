"""Log events of the configuration distribution."""

import logbook

from jackdawsill.logs import register_log_event

SET_ACCEPTED = register_log_event(
    4100,
    "set_accepted",
    "generation {generation} accepted, digest {digest}",
    "The host accepted and uses a verified object set.",
)
SET_REFUSED = register_log_event(
    4101,
    "set_refused",
    "pull of generation {generation} from {source} failed: {error}",
    "A source did not answer, or sent an incomplete, corrupt or invalid object set; "
    "another source is tried.",
    logbook.WARNING,
)
SET_CONFLICT = register_log_event(
    4102,
    "set_conflict",
    "generation {generation} has two digests: {kept} (kept), {refused} (rejected)",
    "Two object sets were published under one generation; publish a higher one.",
    logbook.ERROR,
)
SERVICE_STALE = register_log_event(
    4103,
    "service_stale",
    "configuration service serves generation {generation}, older than {accepted}",
    "The configuration service is behind; the host keeps the accepted set.",
    logbook.WARNING,
)
SERVICE_UNREADABLE = register_log_event(
    4104,
    "service_unreadable",
    "manifest of the configuration service rejected: {error}",
    "The published manifest is not valid.",
    logbook.ERROR,
)
SERVICE_FAILED = register_log_event(
    4105,
    "service_failed",
    "read of the configuration service failed: {detail}",
    "The host keeps the accepted set and still gets new ones from its peers.",
    logbook.WARNING,
)
SERVICE_BACK = register_log_event(
    4106,
    "service_back",
    "configuration service answers again",
    "Reads of the configuration service succeed again.",
)
JOINED = register_log_event(
    4107,
    "spread_joined",
    "joined with generation {generation}, confirmed: {confirmed}",
    "The host may serve its object set; `confirmed` means that a source reported no "
    "higher generation.",
)
CONFIRMED = register_log_event(
    4108,
    "generation_confirmed",
    "generation {generation} confirmed",
    "A peer or the configuration service reported no higher generation.",
)
