"""Messages of the quarantine between hosts."""

from typing import NamedTuple

from jackdawsill.peers import PeerMessage, register_message


class CrashItem(NamedTuple):
    """Crash of a replica while a fingerprint was in flight there.

    `age_s` is the time since the crash, because hosts share no clock. `alone` and
    `canary` are those of `Crash`.
    """

    fingerprint: str
    replica: str
    age_s: float
    alone: bool
    canary: bool


class CondemnedItem(NamedTuple):
    """A condemned fingerprint and the time until it expires at the sender."""

    fingerprint: str
    remaining_s: float


@register_message("SuspicionNotice")
class SuspicionNotice(PeerMessage):
    """Report crashes, so that a request sent again to another host runs as a canary."""

    items: tuple[CrashItem, ...]


@register_message("QuarantineNotice")
class QuarantineNotice(PeerMessage):
    """Condemned fingerprints, which every host refuses."""

    items: tuple[CondemnedItem, ...]
