"""Whether this host reaches replicas at all, or is cut off from all of them.

Failures of single replicas do not tell whether they have ended or this host is cut off.
So after some failures the host opens connections to a few other replicas. If none of
them opens, it counts as cut off until one does, and sends its calls through other
hosts.
"""

import math
import random
from collections.abc import Iterable

from jackdawsill.forwarding._model import ReplicaEntry

# A check starts when connections to this many replicas have failed since one opened.
N_FAILED_TO_CHECK = 2
# It also starts when replicas have not answered for this time, although this many of
# them, or any for SILENT_MAX_S, have had attempts for so long.
SILENT_CHECK_S = 0.25
N_SILENT_TO_CHECK = 2
SILENT_MAX_S = 1.0
# Replicas to which a check opens connections, in different domains and services.
N_CHECKED = 4
# A check ends without result after this time, longer than the timeout of connecting.
CHECK_TIMEOUT_S = 0.35
# Time between checks while the host reaches replicas, and while it is cut off.
CHECK_INTERVAL_S = 1.0
RECHECK_INTERVAL_S = 0.4
# Least time between checks that show whether a refused connection means a crash.
SUSPECT_CHECK_INTERVAL_S = 0.1


class ReplicaReach:
    """Hold what recent connections to replicas have shown, and the check in progress.

    `cut_since_` is the time since which the host is cut off, None while it is not.
    """

    __slots__ = (
        "answered_at_",
        "check_started_at_",
        "checked_",
        "connected_at_",
        "cut_since_",
        "failed_",
        "last_check_at_",
        "next_check_at_",
    )

    def __init__(self) -> None:
        self.answered_at_ = 0.0  # last answer of any replica
        self.connected_at_ = 0.0  # last connection that opened
        # Replicas to which connections have failed since then.
        self.failed_: set[str] = set()
        # Replicas of the check in progress that have not failed yet.
        self.checked_: set[str] = set()
        self.check_started_at_: float | None = None
        self.last_check_at_ = -math.inf
        self.next_check_at_ = 0.0
        self.cut_since_: float | None = None

    @property
    def is_cut(self) -> bool:
        """Tell whether the host is cut off from all replicas."""
        return self.cut_since_ is not None

    def on_answer(self, now: float) -> None:
        """Record an answer, which shows that one connection still works."""
        self.answered_at_ = now

    def on_connected(self, now: float) -> bool:
        """Record a connection that opened; return whether it ends a cut."""
        self.connected_at_ = self.answered_at_ = now
        self.failed_.clear()
        self.checked_.clear()
        self.check_started_at_ = None
        self.next_check_at_ = max(self.next_check_at_, now + CHECK_INTERVAL_S)
        was_cut, self.cut_since_ = self.is_cut, None
        return was_cut

    def on_connect_failed(self, replica: str) -> None:
        """Record a connection that could not be opened."""
        self.failed_.add(replica)
        self.checked_.discard(replica)

    def is_check_due(
        self, silent_since: Iterable[float], now: float, *, has_suspects: bool = False
    ) -> bool:
        """Tell whether a check should start.

        `silent_since` are the times since which replicas owe answers, `has_suspects`
        tells that a replica may have crashed.
        """
        if self.check_started_at_ is not None:
            return False
        if has_suspects and now >= self.last_check_at_ + SUSPECT_CHECK_INTERVAL_S:
            return True
        if now < self.next_check_at_:
            return False
        if self.is_cut or len(self.failed_) >= N_FAILED_TO_CHECK:
            return True
        silent = [
            at
            for at in silent_since
            if now - max(at, self.answered_at_) >= SILENT_CHECK_S
        ]
        return len(silent) >= N_SILENT_TO_CHECK or any(
            now - max(at, self.answered_at_) >= SILENT_MAX_S for at in silent
        )

    def start_check(
        self, entries: Iterable[ReplicaEntry], now: float, rng: random.Random
    ) -> list[ReplicaEntry]:
        """Start a check; return the replicas to which to open connections.

        Replicas without recent failures come first, and then other domains and
        services than those already chosen.
        """
        rest = sorted(entries, key=lambda entry: entry.name)
        rng.shuffle(rest)
        chosen: list[ReplicaEntry] = []
        while rest and len(chosen) < N_CHECKED:
            domains = [entry.failure_domain for entry in chosen]
            services = [entry.service for entry in chosen]
            best = min(
                rest,
                key=lambda e: (
                    e.name in self.failed_,
                    domains.count(e.failure_domain),
                    services.count(e.service),
                ),
            )
            rest.remove(best)
            chosen.append(best)
        self.checked_ = {entry.name for entry in chosen}
        self.check_started_at_ = self.last_check_at_ = now
        self.next_check_at_ = now + (
            RECHECK_INTERVAL_S if self.is_cut else CHECK_INTERVAL_S
        )
        return chosen

    def end_check(self, now: float) -> bool:
        """End the check if all its connections failed; return whether a cut begins."""
        started_at = self.check_started_at_
        if started_at is None:
            return False
        if self.checked_ and now < started_at + CHECK_TIMEOUT_S:
            return False
        self.check_started_at_ = None
        self.checked_.clear()
        self.next_check_at_ = now + RECHECK_INTERVAL_S
        if self.is_cut:
            return False
        self.cut_since_ = now
        return True
