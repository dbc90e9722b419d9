"""Detection of requests that crash the replicas that run them (poison requests)."""

import math
import zlib
from collections import OrderedDict

import msgspec

from jackdawsill.forwarding._model import ForwardRequest

# A request that crashed this many replicas is suspected: it first runs on one replica
# alone. It is condemned if one of the crashes is a repeat: its attempt was sent after
# another one had been seen. Crashes at one moment may have a common cause, such as an
# outage that hits many parts of a fan-out.
N_CRASHES_TO_SUSPECT = 3
# An answer excuses this many further crashes, which another request may have caused at
# the same replicas.
N_CRASHES_EXCUSED = 3
# Crashes further apart than this are not evidence against one request.
EVIDENCE_WINDOW_S = 600.0
# Time for which a condemned request is refused; callers may repeat it meanwhile.
CONDEMNED_S = 600.0
# An answer excuses crashes for this time.
ANSWERED_KEPT_S = 60.0
# Requests with evidence, and answered requests, that a host keeps, to bound memory.
MAX_REQUESTS_KEPT = 2048
MAX_CRASHES_KEPT = 64  # of one request

ReplicaKey = tuple[str, str]  # name and incarnation


class Crash(msgspec.Struct, frozen=True):
    """A replica that crashed while it ran a request; times are of this host's clock.

    `is_repeat` is None if it is to be judged by the times, or without them by whether
    the crash belongs to another call than those known.
    """

    request_id: str
    replica: str
    incarnation: str
    lost_at: float | None = None  # when the connection was lost, if seen here
    sent_at: float | None = None
    rtt_s: float = 0.0  # round-trip time to the replica
    is_repeat: bool | None = None
    alive_at: float | None = None  # a time at which the replica still ran, if known


class _Evidence(msgspec.Struct, eq=False):
    """Crashes under one request, by request id and replica."""

    crashes: dict[tuple[str, str], Crash] = msgspec.field(default_factory=dict)
    # When each crash was recorded; the first one is the oldest.
    recorded_at: dict[tuple[str, str], float] = msgspec.field(default_factory=dict)
    n_excused: int = 0  # crashes that an answer before them excuses
    first_seen_at: float = 0.0  # when the first crash was seen or learned
    condemned_until: float = 0.0

    def replicas(self) -> set[ReplicaKey]:
        """Return the replicas that crashed."""
        return {(c.replica, c.incarnation) for c in self.crashes.values()}

    @property
    def is_suspicious(self) -> bool:
        """Tell whether enough replicas crashed."""
        return len(self.replicas()) >= N_CRASHES_TO_SUSPECT + self.n_excused

    @property
    def has_repeat(self) -> bool:
        """Tell whether a crash followed on another one."""
        return any(crash.is_repeat for crash in self.crashes.values())


def fingerprint(req: ForwardRequest) -> int:
    """Return a number that is equal for the same method, host, target and body."""
    value = zlib.crc32(req.method + b" " + req.host + req.target)
    return zlib.crc32(req.body, value)


class CrashEvidence:
    """Suspect and condemn requests that crashed several replicas.

    A lost connection alone is no evidence: the replica must have refused a new one, or
    the store must tell that its process has ended. A crash counts no longer once the
    same process answers. An answer to the request clears all crashes before it, and
    excuses some of those that come after it.
    """

    __slots__ = ("answered_", "evidence_", "requests_by_replica_")

    def __init__(self) -> None:
        self.evidence_: OrderedDict[int, _Evidence] = OrderedDict()
        # Fingerprint -> time of the last answer.
        self.answered_: OrderedDict[int, float] = OrderedDict()
        # Replica that crashed -> fingerprints of the requests that it ran.
        self.requests_by_replica_: dict[ReplicaKey, set[int]] = {}

    def on_crash(
        self, fingerprint: int, crash: Crash, now: float, age_s: float = 0.0
    ) -> Crash | None:
        """Record a crash; return it as judged, or None if it is no new evidence.

        `age_s` is the time since a peer recorded it.
        """
        evidence = self.evidence_.get(fingerprint)
        if evidence is None or self._has_expired(evidence, now):
            self._forget(fingerprint)
            answered_at = self.answered_.get(fingerprint, -math.inf)
            is_excused = now < answered_at + ANSWERED_KEPT_S
            n_excused = N_CRASHES_EXCUSED if is_excused else 0
            evidence = self.evidence_[fingerprint] = _Evidence(n_excused=n_excused)
        key = (crash.request_id, crash.replica)
        if key in evidence.crashes:
            return None
        crash = msgspec.structs.replace(crash, is_repeat=_is_repeat(evidence, crash))
        if len(evidence.crashes) >= MAX_CRASHES_KEPT:
            if not crash.is_repeat or evidence.has_repeat:
                return None
            self._make_room(fingerprint, evidence)
        seen_at = now if crash.lost_at is None else crash.lost_at
        if not evidence.crashes or seen_at < evidence.first_seen_at:
            evidence.first_seen_at = seen_at
        evidence.crashes[key] = crash
        evidence.recorded_at[key] = now - age_s
        replica = (crash.replica, crash.incarnation)
        self.requests_by_replica_.setdefault(replica, set()).add(fingerprint)
        self.evidence_.move_to_end(fingerprint)
        if evidence.is_suspicious and evidence.has_repeat:
            last_at = max(evidence.recorded_at.values())
            evidence.condemned_until = last_at + CONDEMNED_S
        while len(self.evidence_) > MAX_REQUESTS_KEPT:
            self._forget(next(iter(self.evidence_)))
        return crash

    def on_success(self, fingerprint: int, now: float) -> None:
        """Clear the evidence against a request that a replica has completed."""
        self._forget(fingerprint)
        self.answered_[fingerprint] = now
        self.answered_.move_to_end(fingerprint)
        while len(self.answered_) > MAX_REQUESTS_KEPT:
            self.answered_.popitem(last=False)

    def on_replica_answer(self, replica: ReplicaKey, sent_at: float) -> list[int]:
        """Remove the crashes of a replica that answered an attempt sent after them.

        Return the fingerprints of the requests whose evidence this changes.
        """
        changed = []
        for fingerprint in list(self.requests_by_replica_.get(replica, ())):
            evidence = self.evidence_[fingerprint]
            refuted = [
                key
                for key, crash in evidence.crashes.items()
                if (crash.replica, crash.incarnation) == replica
                and evidence.recorded_at[key] <= sent_at
            ]
            for key in refuted:
                del evidence.crashes[key], evidence.recorded_at[key]
            if not refuted:
                continue
            changed.append(fingerprint)
            self._unlink(fingerprint, replica)
            if not evidence.crashes:
                self._forget(fingerprint)
            elif not (evidence.is_suspicious and evidence.has_repeat):
                evidence.condemned_until = 0.0
        return changed

    def suspicious_crashes(self, now: float) -> list[tuple[int, Crash, float]]:
        """Return the crashes of suspected requests, each with fingerprint and age."""
        return [
            (fingerprint, crash, now - evidence.recorded_at[key])
            for fingerprint, evidence in self.evidence_.items()
            if evidence.is_suspicious and not self._has_expired(evidence, now)
            for key, crash in evidence.crashes.items()
        ]

    def count(self, fingerprint: int) -> tuple[int, int]:
        """Return the number of crashes of a request, and of its calls that crashed."""
        evidence = self.evidence_.get(fingerprint)
        crashes = {} if evidence is None else evidence.crashes
        return len(crashes), len({request_id for request_id, _ in crashes})

    def is_condemned(self, fingerprint: int, now: float) -> bool:
        """Tell whether the request is condemned: it must not be sent to any replica."""
        evidence = self.evidence_.get(fingerprint)
        return evidence is not None and now < evidence.condemned_until

    def is_suspected(self, fingerprint: int, now: float) -> bool:
        """Tell whether the request must run on one replica before it runs on others."""
        evidence = self.evidence_.get(fingerprint)
        return (
            evidence is not None
            and evidence.is_suspicious
            and not self._has_expired(evidence, now)
        )

    def _make_room(self, fingerprint: int, evidence: _Evidence) -> None:
        """Remove a crash, since a repeat condemns however many came at one moment."""
        key = next(iter(evidence.crashes))
        crash = evidence.crashes.pop(key)
        del evidence.recorded_at[key]
        replica = (crash.replica, crash.incarnation)
        if replica not in evidence.replicas():
            self._unlink(fingerprint, replica)

    def _has_expired(self, evidence: _Evidence, now: float) -> bool:
        last_at = max(evidence.recorded_at.values(), default=now)
        return now - last_at > EVIDENCE_WINDOW_S

    def _forget(self, fingerprint: int) -> None:
        evidence = self.evidence_.pop(fingerprint, None)
        if evidence is not None:
            for replica in evidence.replicas():
                self._unlink(fingerprint, replica)

    def _unlink(self, fingerprint: int, replica: ReplicaKey) -> None:
        fingerprints = self.requests_by_replica_.get(replica)
        if fingerprints is not None:
            fingerprints.discard(fingerprint)
            if not fingerprints:
                del self.requests_by_replica_[replica]


def _is_repeat(evidence: _Evidence, crash: Crash) -> bool:
    """Tell whether an attempt was sent after a crash of the same request was seen.

    A replica that crashed together with the one before, in an outage, loses the attempt
    at the latest one round trip after that. One that crashed in silence loses it at any
    time, so it must have run after the crash before.
    """
    if crash.is_repeat is not None:
        return crash.is_repeat
    if crash.lost_at is None or crash.sent_at is None:
        return any(request_id != crash.request_id for request_id, _ in evidence.crashes)
    if crash.alive_at is not None and crash.alive_at <= evidence.first_seen_at:
        return False
    return (
        bool(evidence.crashes)
        and crash.sent_at >= evidence.first_seen_at
        and crash.lost_at > evidence.first_seen_at + crash.rtt_s
    )
