"""Follow the platform's store through its faults."""

import asyncio
import random
import time
from collections.abc import Callable

from jackdawsill.core import Event
from jackdawsill.forwarding import (
    STORE,
    ReplicasChanged,
    ReplicasListed,
    RoutesRead,
    StoreConfirmed,
    StoreLost,
    StoreRegained,
)
from jackdawsill.gateway._store import BaseStore, HistoryLost, StoreUnavailable
from jackdawsill.relaying import FollowStore

# Longest wait for a change. An answer that is lost on the way is noticed only after
# it, so it stays below the time in which changes must be in force; a host that
# others rely on confirms its news more often.
WATCH_S = 3.0
RELAY_WATCH_S = 1.0
# Changes come in groups; a pause after one lets the next call fetch several at once.
GROUPING_S = 0.5
# Delay between attempts to reach a store that does not answer. Hosts that others
# rely on try more often; the others hear of the store's return from them.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
RELAY_RETRY_MAX_S = 0.5
# Failures in a row after which the store counts as lost; a watch may be cut alone.
N_FAILURES_TO_LOSE = 2


class StoreFollower:
    """Carry out `FollowStore`: feed what the store says to the reducer."""

    def __init__(
        self,
        store: BaseStore,
        feed: Callable[[Event], None],
        known_revision: Callable[[], int | None],
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.store = store
        self.feed = feed
        self.known_revision = known_revision
        self.rng = rng
        self.clock = clock
        self.is_relay_ = False
        self.n_failures_ = 0
        self.must_list_ = False
        self.confirmed_at_: float | None = None
        self._task: asyncio.Task | None = None
        self._wake = asyncio.Event()
        self._paused_s = 0.0

    def follow(self, effect: FollowStore) -> None:
        """Begin or end to follow; needs a running loop."""
        self.is_relay_ = effect.is_relay
        if effect.enabled and self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
        elif not effect.enabled:
            self.stop()
            self.store.reset()

    def stop(self) -> None:
        """End following."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self.n_failures_ >= N_FAILURES_TO_LOSE:
            # A relay has current news, so the store answers others at least.
            self.feed(StoreRegained())
        self.n_failures_ = 0

    def check_now(self, effect: object = None) -> None:
        """Cut the wait short and read again over a new connection."""
        self.store.reset()
        self._wake.set()

    async def _run(self) -> None:
        while True:
            try:
                if self.must_list_ or self.known_revision() is None:
                    await self._list()
                await self._follow()
            except HistoryLost:
                self.must_list_ = True
            except StoreUnavailable as exc:
                await self._on_unavailable(str(exc))

    async def _list(self) -> None:
        snapshot = await self.store.read()
        self._on_answer()
        self.must_list_ = False
        if snapshot.routes is not None:
            self.feed(RoutesRead(snapshot.routes, STORE))
        self.feed(ReplicasListed(snapshot.entries, snapshot.revision, STORE))
        self.feed(StoreConfirmed(snapshot.revision))

    async def _follow(self) -> None:
        base = self.known_revision() or 0
        wait_s = RELAY_WATCH_S if self.is_relay_ else WATCH_S
        # A pause before is part of the time after which news must be confirmed.
        wait_s -= self._paused_s
        self._paused_s = 0.0
        changes = await self.store.watch(base, wait_s)
        self._on_answer()
        if changes.written or changes.removed:
            self.feed(
                ReplicasChanged(
                    changes.written, changes.removed, changes.revision, STORE, base
                )
            )
        if changes.routes is not None:
            self.feed(RoutesRead(changes.routes, STORE))
        if changes.is_empty:
            # The next watch begins where this one did: an empty answer may come from
            # a store that holds its news back, and must not hide what it held back.
            self.feed(StoreConfirmed(base))
            return
        self.feed(StoreConfirmed(changes.revision))
        self._paused_s = GROUPING_S
        await self._pause(GROUPING_S)

    def _on_answer(self) -> None:
        self.confirmed_at_ = self.clock()
        if self.n_failures_ >= N_FAILURES_TO_LOSE:
            self.feed(StoreRegained())
        self.n_failures_ = 0

    async def _on_unavailable(self, detail: str) -> None:
        self.n_failures_ += 1
        if self.n_failures_ == N_FAILURES_TO_LOSE:
            self.feed(StoreLost(detail))
        longest_s = RELAY_RETRY_MAX_S if self.is_relay_ else RETRY_MAX_S
        delay_s = min(longest_s, RETRY_MIN_S * 2 ** (self.n_failures_ - 1))
        # Hosts that lost the store together must not return together.
        await self._pause(delay_s * (0.5 + self.rng.random()))

    async def _pause(self, delay_s: float) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(delay_s):
                await self._wake.wait()
        except TimeoutError:
            return
