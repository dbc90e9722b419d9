"""Crash evidence about fingerprints, and the verdicts that follow from it."""

import contextlib
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec
import xxhash

from jackdawsill.core import Count, Effect, LogEvent
from jackdawsill.quarantine import _log_events as log
from jackdawsill.quarantine._messages import CondemnedItem, CrashItem
from jackdawsill.quarantine._notices import NoticeQueue

# A condemned fingerprint is refused for this time.
CONDEMNED_S = 600.0
# A suspicion expires this time after its last new evidence.
SUSPICION_TTL_S = 120.0
# Crashes in one failure domain within this time may have one cause, such as the loss
# of a rack, and are not independent evidence.
SAME_CAUSE_S = 10.0
MAX_CRASHES = 4  # crashes kept for one fingerprint
# A suspicion is weak if other fingerprints were in flight at every crash. Weak
# suspicions can be numerous and have their own table, so that they cannot displace
# strong ones.
MAX_WEAK_SUSPICIONS = 4096
MAX_STRONG_SUSPICIONS = 2048
MAX_CONDEMNED = 2048
# Rate and burst of the items (crashes or condemnations) sent from each queue.
NOTICE_ITEMS_PER_S = 5.0
NOTICE_ITEM_BURST = 20.0
MAX_QUEUED_CRASHES = 256


class Verdict(StrEnum):
    """How a request may be run."""

    CLEAR = "clear"  # fanned out
    SUSPECT = "suspect"  # one sub-request, the canary, runs alone first
    CONDEMNED = "condemned"  # refused


def request_fingerprint(route: str, body: bytes) -> str:
    """Return the fingerprint of a request: a hash of its route and canonical body."""
    # A body that is not JSON is hashed unchanged.
    with contextlib.suppress(msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        body = msgspec.json.encode(msgspec.json.decode(body), order="sorted")
    return xxhash.xxh3_128_hexdigest(route.encode() + b"\x00" + body)


@dataclass(slots=True, frozen=True)
class Crash:
    """A crash of a replica while a fingerprint was in flight there."""

    replica: str
    failure_domain: str
    at: float
    alone: bool  # no other fingerprint of the observing host was in flight there
    canary: bool  # alone, and sent as the canary of a suspected fingerprint


@dataclass(slots=True)
class Suspicion:
    """Crashes of one fingerprint; kept until it expires, also after it was cleared."""

    crashes: list[Crash] = field(default_factory=list)
    changed_at: float = 0.0
    cleared_at: float | None = None

    def is_superseded_by(self, at: float, now: float) -> bool:
        """Return whether a crash at time `at` starts a new suspicion.

        That is so if this one expired, or if a canary succeeded before the crash, which
        shows that the earlier crashes had another cause.
        """
        if now - self.changed_at >= SUSPICION_TTL_S:
            return True
        return self.cleared_at is not None and at > self.cleared_at

    def add(self, crash: Crash) -> bool:
        """Record a crash; return whether it is new evidence.

        A second crash of the same replica counts only if it is stronger evidence: that
        of a canary is the strongest, then that of a fingerprint that was alone.
        """
        for index, known in enumerate(self.crashes):
            if known.replica == crash.replica:
                weight = (known.alone, known.canary)
                if (crash.alone, crash.canary) <= weight:
                    return False
                self.crashes[index] = crash
                return True
        self.crashes.append(crash)
        if len(self.crashes) > MAX_CRASHES:
            weakest = min(self.crashes, key=lambda c: (c.canary, c.alone, c.at))
            self.crashes.remove(weakest)
        return True

    def is_conclusive(self) -> bool:
        """Return whether two independent crashes point at this fingerprint alone.

        In both it was alone in flight, or in one of them it ran as a canary.
        """
        for index, first in enumerate(self.crashes):
            for second in self.crashes[index + 1 :]:
                canary = first.canary or second.canary
                both_alone = first.alone and second.alone
                if (canary or both_alone) and _are_independent(first, second):
                    return True
        return False


def _are_independent(first: Crash, second: Crash) -> bool:
    if first.replica == second.replica:
        return False
    if first.failure_domain != second.failure_domain:
        return True
    return abs(first.at - second.at) > SAME_CAUSE_S


class Quarantine:
    """Decide which fingerprints are suspected or condemned.

    A fingerprint that causes no crash can still be condemned, for `CONDEMNED_S`, if

    - two failure domains are lost at once while it is the only one in flight on a
      replica of each;
    - its canary runs on a replica that a poison request of another host crashes; or
    - two of its replicas crash for other reasons within `SUSPICION_TTL_S`, in different
      failure domains or `SAME_CAUSE_S` apart, with no other fingerprint of the host in
      flight and no successful canary in between.
    """

    __slots__ = (
        "condemned_",
        "condemned_queue_",
        "crash_queue_",
        "failure_domains_",
        "n_dropped_",
        "pending_effects_",
        "strong_suspicions_",
        "weak_suspicions_",
    )

    def __init__(self) -> None:
        self.condemned_: dict[str, float] = {}  # fingerprint -> expiry time
        self.strong_suspicions_: OrderedDict[str, Suspicion] = OrderedDict()
        self.weak_suspicions_: OrderedDict[str, Suspicion] = OrderedDict()
        self.failure_domains_: Mapping[str, str] = {}  # replica -> failure domain
        self.crash_queue_: NoticeQueue[tuple[str, Crash]] = NoticeQueue(
            NOTICE_ITEMS_PER_S, NOTICE_ITEM_BURST, MAX_QUEUED_CRASHES
        )
        self.condemned_queue_: NoticeQueue[str] = NoticeQueue(
            NOTICE_ITEMS_PER_S, NOTICE_ITEM_BURST, MAX_CONDEMNED
        )
        self.pending_effects_: list[Effect] = []
        self.n_dropped_ = 0

    # Interface for senders of requests.

    def check(self, fingerprint: str, now: float) -> Verdict:
        """Return how a request may be run; drop its condemnation if it expired."""
        until = self.condemned_.get(fingerprint)
        if until is not None:
            if now < until:
                return Verdict.CONDEMNED
            del self.condemned_[fingerprint]
        suspicion = self._suspicion(fingerprint)
        if suspicion is None or suspicion.cleared_at is not None:
            return Verdict.CLEAR
        if now - suspicion.changed_at >= SUSPICION_TTL_S:
            return Verdict.CLEAR
        return Verdict.SUSPECT

    def on_crash(
        self,
        replica: str,
        fingerprints: tuple[str, ...],
        now: float,
        canary: bool | None = None,
    ) -> tuple[str, ...]:
        """Record a crash; return the fingerprints that it makes condemned.

        `fingerprints` are all that were or may have been in flight on the replica. If
        `canary` is None, a suspected fingerprint that was alone counts as a canary.
        """
        distinct = tuple(dict.fromkeys(fingerprints))
        alone = len(distinct) == 1
        condemned = []
        for fingerprint in distinct:
            is_suspect = self.check(fingerprint, now) == Verdict.SUSPECT
            was_canary = alone and (is_suspect if canary is None else canary)
            domain = self.failure_domains_.get(replica, replica)
            crash = Crash(replica, domain, now, alone, was_canary)
            if self._record_crash(fingerprint, crash, now):
                condemned.append(fingerprint)
        return tuple(condemned)

    def on_success(self, fingerprint: str, now: float, canary: bool = True) -> None:
        """Record an answer; the answer of a canary clears the fingerprint.

        Other answers are ignored: their sub-requests may have been in flight before
        the crash.
        """
        suspicion = self._suspicion(fingerprint)
        if canary and suspicion is not None and suspicion.cleared_at is None:
            suspicion.cleared_at = now

    # Notices from and to peers.

    def on_peer_crash(self, item: CrashItem, now: float) -> bool:
        """Record a crash that a peer reports; return whether it condemns."""
        at = now - max(0.0, item.age_s)
        if now - at >= SUSPICION_TTL_S or item.fingerprint in self.condemned_:
            return False
        domain = self.failure_domains_.get(item.replica, item.replica)
        crash = Crash(item.replica, domain, at, item.alone, item.alone and item.canary)
        return self._record_crash(item.fingerprint, crash, now)

    def on_peer_condemned(self, item: CondemnedItem, now: float) -> bool:
        """Condemn a fingerprint that a peer condemned; return whether it is new here.

        The expiry is that of the peer: copies never prolong a condemnation.
        """
        remaining_s = min(item.remaining_s, CONDEMNED_S)
        if remaining_s <= 0 or self.check(item.fingerprint, now) == Verdict.CONDEMNED:
            return False
        self._condemn(item.fingerprint, now + remaining_s)
        fields = {"fingerprint": item.fingerprint, "remaining_s": round(remaining_s, 1)}
        self.pending_effects_.append(LogEvent(log.CONDEMNED_BY_PEER, fields))
        return True

    def condemned_items(self, now: float) -> list[CondemnedItem]:
        """Return all condemned fingerprints as items of a notice."""
        return [
            CondemnedItem(fingerprint, until - now)
            for fingerprint, until in self.condemned_.items()
            if until > now
        ]

    def dequeue_crashes(self, now: float) -> list[CrashItem]:
        """Remove from the queue and return the crashes to send to peers now."""
        return [
            CrashItem(
                fingerprint, crash.replica, now - crash.at, crash.alone, crash.canary
            )
            for fingerprint, crash in self.crash_queue_.dequeue(now)
        ]

    def dequeue_condemned(self, now: float) -> list[CondemnedItem]:
        """Remove from the queue and return the condemned fingerprints to send now."""
        queued = self.condemned_queue_.dequeue(now)
        expiry = {f: self.condemned_.get(f, now) for f in queued}
        return [CondemnedItem(f, at - now) for f, at in expiry.items() if at > now]

    # Expiry and limits.

    def expire(self, now: float) -> None:
        """Drop expired verdicts; suspicions are ordered by their last evidence."""
        for table in (self.weak_suspicions_, self.strong_suspicions_):
            while table:
                fingerprint, oldest = next(iter(table.items()))
                if now - oldest.changed_at < SUSPICION_TTL_S:
                    break
                del table[fingerprint]
        for fingerprint in [f for f, until in self.condemned_.items() if now >= until]:
            del self.condemned_[fingerprint]
        if self.n_dropped_:
            fields = {"n_dropped": self.n_dropped_}
            self.pending_effects_.append(LogEvent(log.SUSPICIONS_DROPPED, fields))
            self.n_dropped_ = 0

    def _suspicion(self, fingerprint: str) -> Suspicion | None:
        return self.strong_suspicions_.get(fingerprint) or self.weak_suspicions_.get(
            fingerprint
        )

    def _record_crash(self, fingerprint: str, crash: Crash, now: float) -> bool:
        if self.check(fingerprint, now) == Verdict.CONDEMNED:
            return False
        suspicion = self._suspicion(fingerprint)
        if suspicion is None or suspicion.is_superseded_by(crash.at, now):
            suspicion = Suspicion()
        if not suspicion.add(crash):
            return False
        suspicion.changed_at = now
        if suspicion.is_conclusive():
            self._condemn(fingerprint, now + CONDEMNED_S)
            replicas = [known.replica for known in suspicion.crashes]
            fields = {"fingerprint": fingerprint, "replicas": replicas}
            self.pending_effects_.append(LogEvent(log.CONDEMNED, fields))
            self.pending_effects_.append(Count("quarantine_condemned"))
            return True
        self._store(fingerprint, suspicion)
        # A weak crash must not displace a queued one.
        if crash.alone or len(self.crash_queue_.items_) < MAX_QUEUED_CRASHES:
            self.crash_queue_.enqueue((fingerprint, crash))
        return False

    def _store(self, fingerprint: str, suspicion: Suspicion) -> None:
        self.strong_suspicions_.pop(fingerprint, None)
        self.weak_suspicions_.pop(fingerprint, None)
        is_strong = any(crash.alone for crash in suspicion.crashes)
        table, limit = (
            (self.strong_suspicions_, MAX_STRONG_SUSPICIONS)
            if is_strong
            else (self.weak_suspicions_, MAX_WEAK_SUSPICIONS)
        )
        table[fingerprint] = suspicion
        if len(table) > limit:
            table.popitem(last=False)
            self.n_dropped_ += 1

    def _condemn(self, fingerprint: str, until: float) -> None:
        self.strong_suspicions_.pop(fingerprint, None)
        self.weak_suspicions_.pop(fingerprint, None)
        if len(self.condemned_) >= MAX_CONDEMNED:
            del self.condemned_[min(self.condemned_, key=self.condemned_.__getitem__)]
        self.condemned_[fingerprint] = until
        self.condemned_queue_.enqueue(fingerprint)
