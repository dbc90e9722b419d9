"""Follow the platform's store, and peers while it does not answer."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from jackdawsill.core import Event
from jackdawsill.forwarding import (
    PEER,
    STORE,
    ReplicasChanged,
    ReplicasListed,
    RoutesRead,
    StoreLost,
    StoreRegained,
)
from jackdawsill.gateway._store import (
    BaseStore,
    HistoryLost,
    StoreSnapshot,
    StoreUnavailable,
)

# Longest wait for a change. An answer that is lost on the way is noticed only after
# it, so it stays below the time in which changes must be in force.
WATCH_S = 5.0
# Changes come in groups; a pause after one lets the next call fetch several at once.
GROUPING_S = 0.5
# Delay between attempts to reach a store that does not answer.
RETRY_MIN_S, RETRY_MAX_S = 0.1, 1.0
# Failures in a row after which the store counts as lost; a watch may be cut alone.
N_FAILURES_TO_LOSE = 2

AskPeers = Callable[[int, int], Awaitable[StoreSnapshot | None]]


class StoreFollower:
    """Feed what the store says to the reducer, through all of its faults."""

    def __init__(
        self,
        store: BaseStore,
        feed: Callable[[Event], None],
        ask_peers: AskPeers,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.store = store
        self.feed = feed
        self.ask_peers = ask_peers
        self.rng = rng
        self.clock = clock
        self.revision_: int | None = None
        self.version_ = 0
        self.n_failures_ = 0
        self.must_list_ = True
        self.confirmed_at_: float | None = None
        self._task: asyncio.Task | None = None
        self._wake = asyncio.Event()
        self._watch: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to follow; needs a running loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """End following."""
        if self._task is not None:
            self._task.cancel()

    def check_now(self, effect: object = None) -> None:
        """Cut the wait short and read again over a new connection."""
        self.store.reset()
        self._wake.set()

    async def _run(self) -> None:
        while True:
            try:
                if self.must_list_:
                    await self._list()
                await self._follow()
            except HistoryLost:
                self.must_list_ = True
            except StoreUnavailable as exc:
                await self._on_unavailable(str(exc))

    async def _list(self) -> None:
        self._accept(await self.store.read(), STORE)
        self.must_list_ = False
        self._on_answer()

    async def _follow(self) -> None:
        assert self.revision_ is not None
        changes = await self.store.watch(self.revision_, WATCH_S)
        self._on_answer()
        self.revision_ = changes.revision
        if changes.is_empty:
            return
        if changes.written or changes.removed:
            self.feed(
                ReplicasChanged(
                    changes.written, changes.removed, changes.revision, STORE
                )
            )
        if changes.routes is not None:
            self.version_ = changes.routes.version
            self.feed(RoutesRead(changes.routes, STORE))
        await self._pause(GROUPING_S)

    def _accept(self, snapshot: StoreSnapshot, source: str) -> None:
        self.revision_ = snapshot.revision
        if snapshot.routes is not None:
            self.version_ = max(self.version_, snapshot.routes.version)
            self.feed(RoutesRead(snapshot.routes, source))
        self.feed(ReplicasListed(snapshot.entries, snapshot.revision, source))

    def _on_answer(self) -> None:
        self.confirmed_at_ = self.clock()
        if self.n_failures_ >= N_FAILURES_TO_LOSE:
            self.feed(StoreRegained())
        self.n_failures_ = 0

    async def _on_unavailable(self, detail: str) -> None:
        self.n_failures_ += 1
        if self.n_failures_ == N_FAILURES_TO_LOSE:
            self.feed(StoreLost(detail))
        if self.n_failures_ >= N_FAILURES_TO_LOSE:
            snapshot = await self.ask_peers(self.version_, self.revision_ or 0)
            if snapshot is not None and snapshot.revision > (self.revision_ or 0):
                self._accept(snapshot, PEER)
                self.must_list_ = False
        delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** (self.n_failures_ - 1))
        # Hosts that lost the store together must not return together.
        await self._pause(delay_s * (0.5 + self.rng.random()))

    async def _pause(self, delay_s: float) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(delay_s):
                await self._wake.wait()
        except TimeoutError:
            return
