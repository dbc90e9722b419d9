"""Log events of relaying."""

import logbook

from jackdawsill.logs import register_log_event

SOURCE_CHANGED = register_log_event(
    2600,
    "news_source",
    "routes and replicas now come from the {source}",
    "The host began or ended to follow the store itself; `age_s` is the age of what "
    "it knows.",
    logbook.NOTICE,
)
RELAY_LOST = register_log_event(
    2601,
    "relay_lost",
    "the link to relay {address} closed: {detail}",
    "The host learns from another relay, or from the store.",
    logbook.NOTICE,
)
RELAY_LEFT = register_log_event(
    2602,
    "relay_left",
    "relay {address} is left in state {state} after {age_s} s",
    "The relay did not answer, or its news was too old.",
)
