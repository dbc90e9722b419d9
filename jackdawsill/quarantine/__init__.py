"""Quarantine of requests that crash backend servers.

A request is known by its fingerprint. Crashes make a fingerprint suspected; it is then
tested by a canary. Conclusive evidence condemns it, and every host refuses it.
"""

from jackdawsill.quarantine import _handlers, _views  # noqa: F401 - registers them
from jackdawsill.quarantine._messages import (
    CondemnedItem,
    CrashItem,
    QuarantineNotice,
    SuspicionNotice,
)
from jackdawsill.quarantine._quarantine import (
    CONDEMNED_S,
    Quarantine,
    Verdict,
    request_fingerprint,
)

__all__ = [
    "CONDEMNED_S",
    "CondemnedItem",
    "CrashItem",
    "Quarantine",
    "QuarantineNotice",
    "SuspicionNotice",
    "Verdict",
    "request_fingerprint",
]
