"""Log events of the quarantine."""

import logbook

from jackdawsill.logs import register_log_event

CONDEMNED = register_log_event(
    4200,
    "fingerprint_condemned",
    "requests with fingerprint {fingerprint} are refused: they crashed {replicas}",
    "Independent crashes of backend servers point at one request.",
    logbook.WARNING,
)
CONDEMNED_BY_PEER = register_log_event(
    4201,
    "fingerprint_condemned_by_peer",
    "requests with fingerprint {fingerprint} are refused for {remaining_s} s: "
    "condemned by a peer",
    "Another host condemned a request.",
)
SUSPICIONS_DROPPED = register_log_event(
    4202,
    "suspicions_dropped",
    "{n_dropped} suspicions were dropped because the table is full",
    "More fingerprints are suspected than the table holds; the oldest were dropped.",
    logbook.WARNING,
)
