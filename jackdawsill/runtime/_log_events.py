"""Log events of the driver."""

import logbook

from jackdawsill.logs import register_log_event

HANDLER_FAILED = register_log_event(
    5002,
    "handler-failed",
    "handler of {event} failed: {detail}",
    "A reducer handler raised an exception; its effects are lost.",
    logbook.ERROR,
)
EFFECT_FAILED = register_log_event(
    5003,
    "effect-failed",
    "effect {effect} failed: {detail}",
    "The daemon could not carry out an effect.",
    logbook.ERROR,
)
UNKNOWN_EFFECT = register_log_event(
    5010,
    "unknown-effect",
    "no action is registered for effect {effect}",
    "The daemon was given an effect of a class it does not know.",
    logbook.ERROR,
)
BAD_PEER_MESSAGE = register_log_event(
    5006,
    "bad-peer-message",
    "link {link_id} to {address} closed: {detail}",
    "A peer sent a message that did not check, or did not read its messages.",
    logbook.WARNING,
)
