"""Reads of the configuration service: watches and background polls."""

import random

from jackdawsill.core import Count, Effect, LogEvent, ReadConfig
from jackdawsill.spread import _log_events as log
from jackdawsill.spread._manifest import MANIFEST_KEY

WATCH_S = 30.0
WATCH_GRACE_S = 5.0  # a watch that has not returned by then never will
READ_TIMEOUT_S = 3.0
# One host of n polls every 2 n seconds, so the fleet makes 0.5 reads a second.
POLL_S_PER_HOST = 2.0
RETRY_MIN_S = 1.0
RETRY_MAX_S = 8.0
# A service that returns from a watch at once must not cause a tight loop.
WATCH_GAP_S = 0.2
WATCH_SAME_GAP_S = 1.0


class ServiceReader:
    """Decide when the manifest is watched and polled."""

    __slots__ = (
        "answered_",
        "failing_",
        "next_poll_at_",
        "next_watch_at_",
        "poll_since_",
        "retry_s_",
        "stale_answers_",
        "version_",
        "watch_since_",
        "watcher_",
        "watcher_version_",
    )

    def __init__(self) -> None:
        self.version_ = ""
        self.answered_ = False
        self.failing_ = False
        self.watch_since_: float | None = None
        self.poll_since_: float | None = None
        self.next_watch_at_ = 0.0
        self.next_poll_at_ = 0.0
        self.retry_s_ = RETRY_MIN_S
        self.stale_answers_ = 0
        self.watcher_ = False
        self.watcher_version_ = -1  # of the member table

    def run(
        self, watcher: bool, urgent: bool, n_hosts: int, rng: random.Random, now: float
    ) -> list[Effect]:
        """Return the reads that are due; `urgent` asks for polls without delay."""
        effects: list[Effect] = []
        if self.poll_since_ is not None and now - self.poll_since_ > READ_TIMEOUT_S:
            self.poll_since_ = None
            effects += self.on_failed("no answer to a read", rng, now)
        since = self.watch_since_
        if since is not None and now - since > WATCH_S + WATCH_GRACE_S:
            self.watch_since_ = None
            effects.append(Count("spread_watches_unanswered"))
        if watcher and self.watch_since_ is None and now >= self.next_watch_at_:
            self.watch_since_ = now
            effects.append(ReadConfig(MANIFEST_KEY, WATCH_S, self.version_))
        # Watchers poll as well: a watch may never answer while reads succeed.
        if self.poll_since_ is None and now >= self.next_poll_at_:
            self.poll_since_ = now
            period_s = RETRY_MIN_S if urgent else POLL_S_PER_HOST * n_hosts
            self.next_poll_at_ = now + period_s * rng.uniform(0.5, 1.5)
            effects.append(ReadConfig(MANIFEST_KEY))
        return effects

    def on_answer(self, version: str, now: float) -> tuple[bool, list[Effect]]:
        """Record an answer; tell whether it was asked for after the last pause."""
        changed = version != self.version_
        self.version_ = version
        # Answers name no read. A poll is taken as answered first; a mistake only
        # delays the next watch.
        if self.poll_since_ is not None:
            self.poll_since_ = None
        elif self.watch_since_ is not None:
            self.watch_since_ = None
            self.next_watch_at_ = now + (WATCH_GAP_S if changed else WATCH_SAME_GAP_S)
        fresh = self.stale_answers_ == 0
        self.stale_answers_ = max(0, self.stale_answers_ - 1)
        self.answered_ = True
        self.retry_s_ = RETRY_MIN_S
        if not self.failing_:
            return fresh, []
        self.failing_ = False
        return fresh, [LogEvent(log.SERVICE_BACK)]

    def on_failed(self, detail: str, rng: random.Random, now: float) -> list[Effect]:
        """Record a failed read; retries are spread out and get rarer."""
        wait_s = self.retry_s_ * rng.uniform(0.5, 1.5)
        self.retry_s_ = min(self.retry_s_ * 2, RETRY_MAX_S)
        if self.poll_since_ is not None:
            self.poll_since_ = None
        elif self.watch_since_ is not None:
            self.watch_since_ = None
            self.next_watch_at_ = now + wait_s
        self.stale_answers_ = max(0, self.stale_answers_ - 1)
        effects: list[Effect] = [Count("spread_service_failures")]
        if not self.failing_:
            self.failing_ = True
            effects.append(LogEvent(log.SERVICE_FAILED, {"detail": detail}))
        return effects

    def on_pause(self, now: float) -> None:
        """Poll at once; answers to earlier reads confirm nothing."""
        reads = (self.poll_since_, self.watch_since_)
        self.stale_answers_ = sum(since is not None for since in reads)
        self.poll_since_ = None
        self.next_poll_at_ = now
