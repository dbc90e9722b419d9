"""Log events of relaying."""

import logbook

from jackdawsill.logs import register_log_event

SOURCE_CHANGED = register_log_event(
    2600,
    "news_source",
    "routes and replicas now come from the {source}",
    "The host started or stopped following the store itself; `age_s` is the age of "
    "its routes and replicas.",
    logbook.NOTICE,
)
RELAY_LOST = register_log_event(
    2601,
    "relay_lost",
    "the link to relay {address} closed: {detail}",
    "The host switches to another relay or to the store.",
    logbook.NOTICE,
)
RELAY_LEFT = register_log_event(
    2602,
    "relay_left",
    "gave up relay {address} in state {state}, {age_s} s after the start of connecting",
    "The relay did not answer, or its updates were too old.",
)
LINK_SILENT = register_log_event(
    2607,
    "link_silent",
    "replacing the link to relay {address}, silent for {silent_s} s",
    "Nothing arrived on an open link, not even an answer to a request. The host opens "
    "another link to the relay.",
    logbook.NOTICE,
)
ROUTES_RELAYED = register_log_event(
    2603,
    "routes_relayed",
    "configuration {version} relayed to {n_subscribers} hosts in {n_bytes} bytes each",
    "The host sent what changed since version `base` to its subscribers; base 0 stands "
    "for all routes.",
)
ROUTES_INVALID = register_log_event(
    2604,
    "routes_invalid",
    "link {link_id} closed: invalid routes of version {version}: {detail}",
    "A peer sent routes that cannot be decompressed or decoded.",
    logbook.WARNING,
)
ENTRIES_INVALID = register_log_event(
    2606,
    "entries_invalid",
    "{n} entries sent over link {link_id} are out of bounds: {reasons}",
    "A peer, probably of another build, sent entries that name no replica to use. They "
    "are left out.",
    logbook.WARNING,
)
UPDATE_DROPPED = register_log_event(
    2605,
    "update_dropped",
    "update of link {link_id} at revision {revision} of era {era} dropped, known is "
    "{known} of era {known_era}",
    "A peer's update of replicas is older than what this host knows.",
)
