"""Schedule of manifest reads from the configuration service.

A watch is a long poll that returns when the manifest changes. A poll is a plain read.
"""

import random

from jackdawsill.core import Count, Effect, LogEvent, ReadConfig
from jackdawsill.spread import _log_events as log
from jackdawsill.spread._manifest import MANIFEST_KEY

WATCH_TIMEOUT_S = 30.0  # a watch returns after this time without a change
WATCH_GRACE_S = 5.0  # added to WATCH_TIMEOUT_S, after which a watch counts as lost
READ_TIMEOUT_S = 3.0
# Each of n hosts polls every 2 * n seconds, so the fleet makes 0.5 reads per second.
POLL_S_PER_HOST = 2.0
RETRY_MIN_S = 1.0
RETRY_MAX_S = 8.0
# Delay of the next watch after a changed and after an unchanged answer, against a tight
# loop if the service answers watches at once.
WATCH_GAP_S = 0.2
WATCH_UNCHANGED_GAP_S = 1.0


class ServiceReader:
    """Decide when the manifest is watched and polled."""

    __slots__ = (
        "answered_",
        "failing_",
        "is_watcher_",
        "manifest_version_",
        "n_reads_before_pause_",
        "next_poll_at_",
        "next_watch_at_",
        "poll_started_at_",
        "retry_s_",
        "watch_started_at_",
        "watcher_table_version_",
    )

    def __init__(self) -> None:
        self.manifest_version_ = ""
        self.answered_ = False
        self.failing_ = False
        self.watch_started_at_: float | None = None
        self.poll_started_at_: float | None = None
        self.next_watch_at_ = 0.0
        self.next_poll_at_ = 0.0
        self.retry_s_ = RETRY_MIN_S
        self.n_reads_before_pause_ = 0  # in progress at the last process pause
        self.is_watcher_ = False
        self.watcher_table_version_ = -1  # member table version of `is_watcher_`

    def due_reads(
        self, watcher: bool, urgent: bool, n_hosts: int, rng: random.Random, now: float
    ) -> list[Effect]:
        """Return the reads that are due.

        `urgent` replaces the poll interval by `RETRY_MIN_S`.
        """
        effects: list[Effect] = []
        if (
            self.poll_started_at_ is not None
            and now - self.poll_started_at_ > READ_TIMEOUT_S
        ):
            self.poll_started_at_ = None
            effects += self.on_failed("no answer to a read", rng, now)
        started_at = self.watch_started_at_
        if (
            started_at is not None
            and now - started_at > WATCH_TIMEOUT_S + WATCH_GRACE_S
        ):
            self.watch_started_at_ = None
            effects.append(Count("spread_watches_unanswered"))
        if watcher and self.watch_started_at_ is None and now >= self.next_watch_at_:
            self.watch_started_at_ = now
            effects.append(
                ReadConfig(MANIFEST_KEY, WATCH_TIMEOUT_S, self.manifest_version_)
            )
        # Watchers poll too, because watches may hang while plain reads succeed.
        if self.poll_started_at_ is None and now >= self.next_poll_at_:
            self.poll_started_at_ = now
            period_s = RETRY_MIN_S if urgent else POLL_S_PER_HOST * n_hosts
            self.next_poll_at_ = now + period_s * rng.uniform(0.5, 1.5)
            effects.append(ReadConfig(MANIFEST_KEY))
        return effects

    def on_answer(self, version: str, now: float) -> tuple[bool, list[Effect]]:
        """Record an answer; return whether its read began after the last pause."""
        changed = version != self.manifest_version_
        self.manifest_version_ = version
        # Answers do not identify their read. They are matched to the poll first; a
        # wrong match only delays the next watch.
        if self.poll_started_at_ is not None:
            self.poll_started_at_ = None
        elif self.watch_started_at_ is not None:
            self.watch_started_at_ = None
            self.next_watch_at_ = now + (
                WATCH_GAP_S if changed else WATCH_UNCHANGED_GAP_S
            )
        fresh = self.n_reads_before_pause_ == 0
        self.n_reads_before_pause_ = max(0, self.n_reads_before_pause_ - 1)
        self.answered_ = True
        self.retry_s_ = RETRY_MIN_S
        if not self.failing_:
            return fresh, []
        self.failing_ = False
        return fresh, [LogEvent(log.SERVICE_BACK)]

    def on_failed(self, detail: str, rng: random.Random, now: float) -> list[Effect]:
        """Record a failed read; watches retry with jittered exponential backoff."""
        wait_s = self.retry_s_ * rng.uniform(0.5, 1.5)
        self.retry_s_ = min(self.retry_s_ * 2, RETRY_MAX_S)
        if self.poll_started_at_ is not None:
            self.poll_started_at_ = None
        elif self.watch_started_at_ is not None:
            self.watch_started_at_ = None
            self.next_watch_at_ = now + wait_s
        self.n_reads_before_pause_ = max(0, self.n_reads_before_pause_ - 1)
        effects: list[Effect] = [Count("spread_service_failures")]
        if not self.failing_:
            self.failing_ = True
            effects.append(LogEvent(log.SERVICE_FAILED, {"detail": detail}))
        return effects

    def on_pause(self, now: float) -> None:
        """Poll at once.

        Answers to reads that began before the pause do not confirm the generation.
        """
        reads = (self.poll_started_at_, self.watch_started_at_)
        self.n_reads_before_pause_ = sum(started_at is not None for started_at in reads)
        self.poll_started_at_ = None
        self.next_poll_at_ = now
