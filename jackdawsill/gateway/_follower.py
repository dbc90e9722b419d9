"""Read and watch the platform's store, with retries while it is unreachable."""

import asyncio
import random
import time
from collections.abc import Callable

from jackdawsill.core import Event
from jackdawsill.forwarding import (
    STORE,
    STORE_START,
    ReplicasChanged,
    ReplicasListed,
    RoutesRead,
    StoreAnswerTooLong,
    StoreConfirmed,
    StoreHistoryLost,
    StoreLost,
    StorePosition,
    StoreRegained,
    is_overtaken,
)
from jackdawsill.gateway import _log_events as log_events
from jackdawsill.gateway._store import (
    AnswerTooLong,
    BaseStore,
    HistoryLost,
    StoreUnavailable,
)
from jackdawsill.logs import log_event
from jackdawsill.relaying import FollowStore

# How long a watch waits for a change. A lost response is detected only when the watch
# times out, up to 1 s later. Changes have to take effect within 3 s, so they must be
# read again before.
# Relays use a shorter time, so that they confirm their state to other hosts more often.
WATCH_TIMEOUT_S = 1.5
RELAY_WATCH_TIMEOUT_S = 1.0
# Changes come in bursts. Pausing after one lets the next watch return several at once.
BATCHING_PAUSE_S = 0.5
# Bounds of the exponential backoff while the store is unreachable. Relays retry more
# often; other hosts learn from a relay that the store is reachable again.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
RELAY_RETRY_MAX_S = 0.5
# Consecutive failures after which the store counts as unreachable. A single failed
# watch may only be a broken connection.
N_FAILURES_UNREACHABLE = 2


class StoreFollower:
    """Carry out `FollowStore`: feed the store's contents to the reducer as events.

    `known_position` returns the position that the host has applied, or None before
    the first read.
    """

    def __init__(
        self,
        store: BaseStore,
        feed: Callable[[Event], None],
        known_position: Callable[[], StorePosition | None],
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.store = store
        self.feed = feed
        self.known_position = known_position
        self.rng = rng
        self.clock = clock
        self.is_relay_ = False
        self.n_failures_ = 0
        self.needs_full_read_ = False
        self.n_answers_too_long_ = 0
        self.confirmed_at_: float | None = None
        self._task: asyncio.Task | None = None
        self._wake = asyncio.Event()
        self._last_pause_s = 0.0

    def follow(self, effect: FollowStore) -> None:
        """Start or stop following the store; needs a running loop."""
        self.is_relay_ = effect.is_relay
        if effect.enabled and self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
        elif not effect.enabled:
            self.stop()
            self.store.reset()

    def stop(self) -> None:
        """Stop following the store."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self.n_failures_ >= N_FAILURES_UNREACHABLE:
            # A host stops following when a relay sends it current updates, so at least
            # the relay reaches the store. Without this event the store would count as
            # unreachable until the host follows it again.
            self.feed(StoreRegained())
        self.n_failures_ = 0

    def read_again(self, effect: object = None) -> None:
        """Carry out `CheckStore`: read at once over a new connection.

        The connection in use may have failed without a reset.
        """
        self.store.reset()
        self._wake.set()

    async def _run(self) -> None:
        while True:
            try:
                if self.needs_full_read_ or self.known_position() is None:
                    await self._read_all()
                await self._watch_once()
            except HistoryLost:
                self.needs_full_read_ = True
                known = self.known_position()
                if known is not None:
                    self.feed(StoreHistoryLost(known))
            except AnswerTooLong as exc:
                await self._on_too_long(str(exc))
            except StoreUnavailable as exc:
                await self._on_unavailable(str(exc))
            except Exception as exc:
                # What the store or another writer left there must not end the task.
                log_event(log_events.FOLLOWER_FAILED, detail=repr(exc)[:200])
                self.needs_full_read_ = True
                await self._on_unavailable(f"unexpected {type(exc).__name__}")

    async def _read_all(self) -> None:
        asked_from = self.known_position()
        snapshot = await self.store.read()
        self._check_era(snapshot.position)
        self._on_answer()
        self.needs_full_read_ = False
        # First, so that what a relay sends on is not stated to be old. The position of
        # the answer comes with its list: a peer may have sent an older one meanwhile.
        self.feed(StoreConfirmed(asked_from or STORE_START))
        if snapshot.routes is not None:
            self.feed(RoutesRead(snapshot.routes, STORE))
        if not is_overtaken(snapshot.position, asked_from, self.known_position()):
            self.feed(ReplicasListed(snapshot.entries, snapshot.position, STORE))

    async def _watch_once(self) -> None:
        base = self.known_position()
        if base is None:
            return
        wait_s = RELAY_WATCH_TIMEOUT_S if self.is_relay_ else WATCH_TIMEOUT_S
        # Shortened by the batching pause before it, so that two confirmations are at
        # most the watch timeout apart.
        wait_s -= self._last_pause_s
        self._last_pause_s = 0.0
        changes = await self.store.watch(base, wait_s)
        self._check_era(changes.position)
        self._on_answer()
        # First, so that what a relay sends on is not stated to be old. After an empty
        # result only the old position is confirmed: a store that delays changes may
        # state a newer revision, and a watch from there would skip them.
        self.feed(StoreConfirmed(base))
        # Before the replicas, with which their position is passed on. A host that knows
        # only the position would look for later changes of the configuration.
        if changes.routes is not None:
            self.feed(RoutesRead(changes.routes, STORE))
        is_old = is_overtaken(changes.position, base, self.known_position())
        if (changes.written or changes.removed) and not is_old:
            self.feed(
                ReplicasChanged(
                    changes.written, changes.removed, changes.position, STORE, base
                )
            )
        if changes.is_empty:
            return
        self.feed(StoreConfirmed(changes.position))
        self._last_pause_s = BATCHING_PAUSE_S
        await self._pause(BATCHING_PAUSE_S)

    def _check_era(self, position: StorePosition) -> None:
        """Raise StoreUnavailable if a peer has told of a later era meanwhile."""
        known = self.known_position()
        if known is not None and position.era < known.era:
            raise StoreUnavailable(f"answer of era {position.era}, which ended")

    def _on_answer(self) -> None:
        self.confirmed_at_ = self.clock()
        if self.n_failures_ >= N_FAILURES_UNREACHABLE:
            self.feed(StoreRegained())
        self.n_failures_ = 0

    async def _on_too_long(self, detail: str) -> None:
        """Read all in place of changes that are too long for one answer.

        Asking for them again would fail again, and more are written meanwhile.
        """
        self.n_answers_too_long_ += 1
        self.feed(StoreAnswerTooLong(detail))
        if self.needs_full_read_ or self.known_position() is None:
            await self._on_unavailable(detail)
        self.needs_full_read_ = True

    async def _on_unavailable(self, detail: str) -> None:
        self.n_failures_ += 1
        if self.n_failures_ == N_FAILURES_UNREACHABLE:
            self.feed(StoreLost(detail))
        longest_s = RELAY_RETRY_MAX_S if self.is_relay_ else RETRY_MAX_S
        delay_s = min(longest_s, RETRY_MIN_S * 2 ** (self.n_failures_ - 1))
        # Jitter, so that hosts that lost the store together do not retry together.
        await self._pause(delay_s * (0.5 + self.rng.random()))

    async def _pause(self, delay_s: float) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(delay_s):
                await self._wake.wait()
        except TimeoutError:
            return
