"""Crash evidence about requests, and the fingerprints refused because of it."""

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

QUARANTINE_S = 600.0
SUSPECT_S = 120.0
# Crashes in one failure domain within this time may have one cause, such as the
# loss of a rack, and count as one piece of evidence.
SAME_CAUSE_S = 10.0
MAX_CRASHES = 4  # kept for one fingerprint
# Suspicions with other fingerprints in flight are numerous and weak. They have a
# table of their own, so that a flood of them cannot push out the strong ones.
MAX_WEAK = 4096
MAX_STRONG = 2048
MAX_CONDEMNED = 2048
NOTICES_PER_S = 5.0
NOTICE_BURST = 20.0
MAX_QUEUED = 256


class Verdict(StrEnum):
    """Tell how a request may be run."""

    CLEAR = "clear"
    SUSPECT = "suspect"  # one sub-request at a time, alone on its replica
    CONDEMNED = "condemned"  # refused


def request_fingerprint(route: str, body: bytes) -> str:
    """Return the hash of a route and a normalised request body."""
    # A body that is not JSON is hashed as it is.
    with contextlib.suppress(msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        body = msgspec.json.encode(msgspec.json.decode(body), order="sorted")
    return xxhash.xxh3_128_hexdigest(route.encode() + b"\x00" + body)


@dataclass(slots=True, frozen=True)
class Crash:
    """A crash of a replica while a fingerprint was in flight there."""

    replica: str
    failure_domain: str
    at: float
    alone: bool  # no other fingerprint of the observing host was in flight
    canary: bool  # alone, and run because the fingerprint was suspected


@dataclass(slots=True)
class Suspicion:
    """Crashes of one fingerprint; kept for a while after it was cleared."""

    crashes: list[Crash] = field(default_factory=list)
    changed_at: float = 0.0
    cleared_at: float | None = None

    def over(self, at: float, now: float) -> bool:
        """Tell whether a crash at time `at` starts a new suspicion.

        A success between two crashes shows that the first had another cause.
        """
        if now - self.changed_at >= SUSPECT_S:
            return True
        return self.cleared_at is not None and at > self.cleared_at

    def add(self, crash: Crash) -> bool:
        """Record a crash; tell whether it is new evidence."""
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

    def conclusive(self) -> bool:
        """Tell whether two independent crashes point at this fingerprint."""
        for index, first in enumerate(self.crashes):
            for second in self.crashes[index + 1 :]:
                canary = first.canary or second.canary
                only_named = first.alone and second.alone
                if (canary or only_named) and _independent(first, second):
                    return True
        return False


def _independent(first: Crash, second: Crash) -> bool:
    if first.replica == second.replica:
        return False
    if first.failure_domain != second.failure_domain:
        return True
    return abs(first.at - second.at) > SAME_CAUSE_S


class Quarantine:
    """Decide which fingerprints are suspected or condemned.

    An innocent fingerprint can still be condemned, for `QUARANTINE_S`, in three cases:
    two failure domains are lost at once while it is the only one in flight on a
    replica of each; its canary runs on a replica that another host's poison request
    crashes; or two of its replicas crash for other reasons within `SUSPECT_S`, in
    different failure domains or `SAME_CAUSE_S` apart, with nothing else of the host in
    flight and without a success of its own in between.
    """

    __slots__ = (
        "condemned_",
        "condemned_queue_",
        "crash_queue_",
        "domains_",
        "n_dropped_",
        "notes_",
        "strong_",
        "weak_",
    )

    def __init__(self) -> None:
        self.condemned_: dict[str, float] = {}  # fingerprint -> end
        self.strong_: OrderedDict[str, Suspicion] = OrderedDict()
        self.weak_: OrderedDict[str, Suspicion] = OrderedDict()
        self.domains_: Mapping[str, str] = {}  # replica -> failure domain
        self.crash_queue_: NoticeQueue[tuple[str, Crash]] = NoticeQueue(
            NOTICES_PER_S, NOTICE_BURST, MAX_QUEUED
        )
        self.condemned_queue_: NoticeQueue[str] = NoticeQueue(
            NOTICES_PER_S, NOTICE_BURST, MAX_CONDEMNED
        )
        self.notes_: list[Effect] = []
        self.n_dropped_ = 0

    # Interface for queries.

    def check(self, fingerprint: str, now: float) -> Verdict:
        """Return how a request with this fingerprint may be run."""
        until = self.condemned_.get(fingerprint)
        if until is not None:
            if now < until:
                return Verdict.CONDEMNED
            del self.condemned_[fingerprint]
        suspicion = self._suspicion(fingerprint)
        if suspicion is None or suspicion.cleared_at is not None:
            return Verdict.CLEAR
        if now - suspicion.changed_at >= SUSPECT_S:
            return Verdict.CLEAR
        return Verdict.SUSPECT

    def on_crash(
        self,
        replica: str,
        fingerprints: tuple[str, ...],
        now: float,
        canary: bool | None = None,
    ) -> tuple[str, ...]:
        """Record a crash; return the fingerprints condemned by it.

        `fingerprints` names all that were in flight on the connection. Without
        `canary`, a suspected fingerprint that was alone is taken to be a canary.
        """
        names = tuple(dict.fromkeys(fingerprints))
        alone = len(names) == 1
        condemned = []
        for name in names:
            suspect = self.check(name, now) == Verdict.SUSPECT
            was_canary = alone and (suspect if canary is None else canary)
            domain = self.domains_.get(replica, replica)
            crash = Crash(replica, domain, now, alone, was_canary)
            if self._record(name, crash, now):
                condemned.append(name)
        return tuple(condemned)

    def on_success(self, fingerprint: str, now: float, canary: bool = True) -> None:
        """Record an answer; that of a canary clears the fingerprint.

        Other sub-requests show nothing: they may have been in flight at the crash.
        """
        suspicion = self._suspicion(fingerprint)
        if canary and suspicion is not None and suspicion.cleared_at is None:
            suspicion.cleared_at = now

    # Notices of peers.

    def on_peer_crash(self, item: CrashItem, now: float) -> bool:
        """Take in a crash seen by another host; tell whether it condemns."""
        at = now - max(0.0, item.age_s)
        if now - at >= SUSPECT_S or item.fingerprint in self.condemned_:
            return False
        domain = self.domains_.get(item.replica, item.replica)
        crash = Crash(item.replica, domain, at, item.alone, item.alone and item.canary)
        return self._record(item.fingerprint, crash, now)

    def on_peer_condemned(self, item: CondemnedItem, now: float) -> bool:
        """Take in a fingerprint that another host condemned; tell whether it is new."""
        remaining_s = min(item.remaining_s, QUARANTINE_S)
        if remaining_s <= 0 or self.check(item.fingerprint, now) == Verdict.CONDEMNED:
            return False
        self._condemn(item.fingerprint, now + remaining_s)
        fields = {"fingerprint": item.fingerprint, "remaining_s": round(remaining_s, 1)}
        self.notes_.append(LogEvent(log.CONDEMNED_BY_PEER, fields))
        return True

    def condemned_items(self, now: float) -> list[CondemnedItem]:
        """Return all condemned fingerprints as they travel."""
        return [
            CondemnedItem(name, until - now)
            for name, until in self.condemned_.items()
            if until > now
        ]

    def queued_crashes(self, now: float) -> list[CrashItem]:
        """Return the crashes that may be sent to peers now."""
        return [
            CrashItem(name, crash.replica, now - crash.at, crash.alone, crash.canary)
            for name, crash in self.crash_queue_.take(now)
        ]

    def queued_condemned(self, now: float) -> list[CondemnedItem]:
        """Return the condemned fingerprints that may be sent to peers now."""
        names = self.condemned_queue_.take(now)
        ends = {name: self.condemned_.get(name, now) for name in names}
        return [CondemnedItem(n, end - now) for n, end in ends.items() if end > now]

    # Bounds.

    def expire(self, now: float) -> None:
        """Drop what is over; suspicions are kept in the order of their change."""
        for table in (self.weak_, self.strong_):
            while table:
                name, oldest = next(iter(table.items()))
                if now - oldest.changed_at < SUSPECT_S:
                    break
                del table[name]
        for name in [n for n, until in self.condemned_.items() if now >= until]:
            del self.condemned_[name]
        if self.n_dropped_:
            fields = {"n_dropped": self.n_dropped_}
            self.notes_.append(LogEvent(log.SUSPICIONS_DROPPED, fields))
            self.n_dropped_ = 0

    def _suspicion(self, name: str) -> Suspicion | None:
        return self.strong_.get(name) or self.weak_.get(name)

    def _record(self, name: str, crash: Crash, now: float) -> bool:
        if self.check(name, now) == Verdict.CONDEMNED:
            return False
        suspicion = self._suspicion(name)
        if suspicion is None or suspicion.over(crash.at, now):
            suspicion = Suspicion()
        if not suspicion.add(crash):
            return False
        suspicion.changed_at = now
        if suspicion.conclusive():
            self._condemn(name, now + QUARANTINE_S)
            replicas = [known.replica for known in suspicion.crashes]
            fields = {"fingerprint": name, "replicas": replicas}
            self.notes_.append(LogEvent(log.CONDEMNED, fields))
            self.notes_.append(Count("quarantine_condemned"))
            return True
        self._keep(name, suspicion)
        if crash.alone or len(self.crash_queue_.items_) < MAX_QUEUED:
            self.crash_queue_.put((name, crash))
        return False

    def _keep(self, name: str, suspicion: Suspicion) -> None:
        self.strong_.pop(name, None)
        self.weak_.pop(name, None)
        strong = any(crash.alone for crash in suspicion.crashes)
        table, limit = (self.strong_, MAX_STRONG) if strong else (self.weak_, MAX_WEAK)
        table[name] = suspicion
        if len(table) > limit:
            table.popitem(last=False)
            self.n_dropped_ += 1

    def _condemn(self, name: str, until: float) -> None:
        self.strong_.pop(name, None)
        self.weak_.pop(name, None)
        if len(self.condemned_) >= MAX_CONDEMNED:
            del self.condemned_[min(self.condemned_, key=self.condemned_.__getitem__)]
        self.condemned_[name] = until
        self.condemned_queue_.put(name)
