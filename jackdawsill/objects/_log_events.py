"""Log events of object sets."""

import logbook

from jackdawsill.logs import register_log_event

SET_INVALID = register_log_event(
    1100,
    "set_invalid",
    "object set {digest} of generation {generation} is refused: {error}",
    "A published set failed its check; the accepted set stays.",
    logbook.ERROR,
)
BUNDLE_INVALID = register_log_event(
    1101,
    "bundle_invalid",
    "bundle read from {origin} is refused: {error}",
    "A manifest or value is damaged or missing; the accepted set stays.",
    logbook.WARNING,
)
