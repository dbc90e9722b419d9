"""Log events of the driver and of links."""

import logbook

from jackdawsill.logs import register_log_event

HANDLER_FAILED = register_log_event(
    5002,
    "handler-failed",
    "handler of {event} failed: {detail}",
    "An event handler raised an exception; its effects are lost.",
    logbook.ERROR,
)
EFFECT_FAILED = register_log_event(
    5003,
    "effect-failed",
    "effect {effect} failed: {detail}",
    "An effect handler raised an exception; the effect may be incomplete.",
    logbook.ERROR,
)
UNKNOWN_EFFECT = register_log_event(
    5010,
    "unknown-effect",
    "no effect handler is registered for {effect}",
    "The reducer returned an effect of a class that the process does not handle.",
    logbook.ERROR,
)
BAD_PEER_MESSAGE = register_log_event(
    5006,
    "bad-peer-message",
    "link {link_id} with {address} closed: {detail}",
    "A peer sent an invalid message, or did not read the messages sent to it.",
    logbook.WARNING,
)
LOOP_LAGGED = register_log_event(
    5013,
    "loop-lagged",
    "the event loop was busy or stopped for {lag_s} s, {cpu_s} s of it on a processor",
    "Requests received in that time were read late. A process that used little "
    "processor time was paused, or waited for a processor.",
    logbook.NOTICE,
)
