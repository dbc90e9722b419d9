"""Log events of membership."""

import logbook

from jackdawsill.logs import register_log_event

MEMBER_JOINED = register_log_event(
    4000,
    "member_joined",
    "host {name} at {address} joined as {incarnation}",
    "A host that was not in the member table is now in it.",
)
MEMBER_LOST = register_log_event(
    4001,
    "member_lost",
    "host {name} at {address} is lost: {n_reports} hosts get no answer from it",
    "Evidence against a host was not refuted in time.",
    logbook.WARNING,
)
MEMBER_GONE = register_log_event(
    4002,
    "member_gone",
    "host {name} at {address} left or was replaced",
    "A host stopped as planned, or another process answers at its address.",
)
MEMBER_BACK = register_log_event(
    4003,
    "member_back",
    "host {name} at {address} is live again",
    "A host that was marked lost has refuted the evidence.",
)
REFUTED = register_log_event(
    4004,
    "evidence_refuted",
    "this host refuted evidence of its loss with refutation count {refutation}",
    "Other hosts reported this host as not answering although it is alive.",
    logbook.WARNING,
)
HANDSHAKE_REFUSED = register_log_event(
    4005,
    "handshake_refused",
    "link {link_id} with {address} closed: {error}",
    "A peer was not authenticated with the fleet key.",
    logbook.WARNING,
)
VIEW_UNCONFIRMED = register_log_event(
    4006,
    "view_unconfirmed",
    "process was paused for {gap_s} s; the member view is unconfirmed",
    "Requests that are not repeatable are refused until a peer confirms this host.",
    logbook.WARNING,
)
