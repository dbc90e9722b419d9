"""Messages of the quarantine between hosts."""

from typing import NamedTuple

from jackdawsill.peers import PeerMessage, register_message


class CrashItem(NamedTuple):
    """Evidence that a replica crashed with a fingerprint in flight."""

    fingerprint: str
    replica: str
    age_s: float
    alone: bool
    canary: bool


class CondemnedItem(NamedTuple):
    """A condemned fingerprint; a copy never outlives the original."""

    fingerprint: str
    remaining_s: float


@register_message("SuspicionNotice")
class SuspicionNotice(PeerMessage):
    """Crashes, so that a resend through another host runs as a canary."""

    items: tuple[CrashItem, ...]


@register_message("QuarantineNotice")
class QuarantineNotice(PeerMessage):
    """Fingerprints that every host refuses."""

    items: tuple[CondemnedItem, ...]
