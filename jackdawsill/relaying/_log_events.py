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
