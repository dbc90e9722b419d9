"""Requests that crash backend servers: suspicion, canaries and refusal."""

from jackdawsill.quarantine import _handlers, _views  # noqa: F401 - registers both
from jackdawsill.quarantine._messages import (
    CondemnedItem,
    CrashItem,
    QuarantineNotice,
    SuspicionNotice,
)
from jackdawsill.quarantine._quarantine import (
    QUARANTINE_S,
    Quarantine,
    Verdict,
    request_fingerprint,
)

__all__ = [
    "QUARANTINE_S",
    "CondemnedItem",
    "CrashItem",
    "Quarantine",
    "QuarantineNotice",
    "SuspicionNotice",
    "Verdict",
    "request_fingerprint",
]
