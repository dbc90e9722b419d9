"""What a relay sends on when it has read the store after a silence."""

import asyncio
import random
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from jackdawsill.core import PeerMessageRead, SendPeer, reduce
from jackdawsill.forwarding import (
    PEER,
    ReplicaEntry,
    ReplicaRegistry,
    ReplicasChanged,
    ReplicasListed,
    RouteCatalog,
    RouteSet,
    StorePosition,
)
from jackdawsill.gateway import (
    AnswerTooLong,
    BaseStore,
    StoreChanges,
    StoreFollower,
    StoreSnapshot,
    StoreUnavailable,
    build_gateway_state,
    load_gateway_settings,
)
from jackdawsill.gateway.tests.test_settings import VALID
from jackdawsill.relaying import NewsChange, NewsSnapshot, NewsWanted, UpdateFeed

SILENCE_S = 30.0
ROUTES = RouteSet(4, (), {})


def entry(name: str) -> ReplicaEntry:
    """Return the entry of a replica."""
    return ReplicaEntry(name, "docs", "10.0.0.1:80", "near-a", 2)


class _FakeStore(BaseStore):
    """Store with one replica, and one change."""

    async def read(self) -> StoreSnapshot:
        """Return the replica."""
        return StoreSnapshot(ROUTES, (entry("r1"),), StorePosition(1, 7))

    async def watch(self, position: StorePosition, wait_s: float) -> StoreChanges:
        """Return another replica."""
        return StoreChanges(
            RouteSet(5, (), {}), (entry("r2"),), (), StorePosition(1, 8)
        )


class _FollowerCase(unittest.IsolatedAsyncioTestCase):
    """A follower that feeds the state of a host."""

    def setUp(self):
        self.now = 100.0
        self.sent: list = []
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "gateway.ini"
            path.write_text(VALID, encoding="utf-8")
            cfg = load_gateway_settings(path)
        self.state = build_gateway_state(cfg, random.Random(1))
        registry = self.state.component(ReplicaRegistry)
        self.follower = StoreFollower(
            _FakeStore(),
            self.feed,
            lambda: registry.position_,
            random.Random(1),
            lambda: self.now,
        )
        self.follower._pause = self.skip_pause

    async def skip_pause(self, delay_s: float) -> None:
        """Replace the pause after a change."""

    def feed(self, event) -> None:
        """Reduce an event and keep the messages to other hosts."""
        for effect in reduce(self.state, event, self.now):
            if isinstance(effect, SendPeer):
                self.sent.append(effect.message)


class TestRelayedAge(_FollowerCase):
    """What was just read is passed on as current."""

    async def test_after_a_silence(self):
        """Guards against a fleet that turns to the store after it is readable again.

        A message stated as old leaves its readers without a current source.
        """
        await self.follower._read_all()
        self.feed(PeerMessageRead(1, NewsWanted(0, 0, era=0)))
        for read, kind in (
            (self.follower._read_all, NewsSnapshot),
            (self.follower._watch_once, NewsChange),
        ):
            self.now += SILENCE_S
            self.sent.clear()
            await read()
            with self.subTest(kind=kind):
                ages = [m.age_s for m in self.sent if isinstance(m, kind)]
                self.assertTrue(ages)
                self.assertEqual(set(ages), {0.0})


class TestOrderOfUpdates(_FollowerCase):
    """A host that has heard of a position has heard of its configuration."""

    async def test_lost_link_between_two_messages(self):
        """Guards against a host that never learns of a configuration.

        It watches the store from the position that it has heard of, which follows the
        configuration, if the relay ends between its two messages.
        """
        await self.follower._read_all()
        self.feed(PeerMessageRead(1, NewsWanted(0, 0, era=0)))
        self.sent.clear()
        await self.follower._watch_once()
        changes = [m for m in self.sent if isinstance(m, NewsChange)]
        versions = [m.routes.version for m in changes if m.routes is not None]
        self.assertEqual(versions, [5])
        reached = [m.revision >= 8 for m in changes]
        has_routes = [m.routes is not None for m in changes]
        self.assertIn(True, reached)
        self.assertLessEqual(has_routes.index(True), reached.index(True))


class _LateAnswerCase(_FollowerCase):
    """An answer of the store that is read after other hosts have told of more."""

    def delay(self, method: str) -> None:
        """Let a method of the store return once `self.answer` is set."""
        self.asked = asyncio.Event()
        self.answer = asyncio.Event()
        original = getattr(self.follower.store, method)

        async def late(*args):
            self.asked.set()
            await self.answer.wait()
            return await original(*args)

        setattr(self.follower.store, method, late)

    @property
    def known(self) -> tuple[StorePosition, list[str]]:
        """Return the known position and replicas."""
        registry = self.state.component(ReplicaRegistry)
        return registry.position_, sorted(registry.replicas_)


class TestOvertakenAnswers(_LateAnswerCase):
    """Other hosts have told of later changes of the same era."""

    async def test_list_that_a_peer_has_overtaken(self):
        """Guards against live replicas that are removed, and held back after a return.

        They would count as having left in the era of the list.
        """
        self.delay("read")
        task = asyncio.create_task(self.follower._read_all())
        await self.asked.wait()
        later = StorePosition(1, 9)
        self.feed(ReplicasListed((entry("r1"), entry("r3")), later, PEER))
        self.answer.set()
        await task
        self.assertEqual(self.known, (later, ["r1", "r3"]))
        self.assertEqual(self.state.component(RouteCatalog).version, ROUTES.version)
        listed = ReplicasListed((entry("r1"), entry("r3")), StorePosition(2, 3), PEER)
        self.feed(listed)
        self.assertEqual(self.known, (StorePosition(2, 3), ["r1", "r3"]))

    async def test_first_list_that_is_later_than_a_peer_s(self):
        """Guards against a position without the replicas that were written before it.

        A started host hears of an older list while it reads the store for the first
        time. What it then lacks, it would pass on to all others as the newest list.
        """
        self.delay("read")
        task = asyncio.create_task(self.follower._read_all())
        await self.asked.wait()
        self.feed(ReplicasListed((entry("r0"),), StorePosition(1, 5), PEER))
        self.feed(PeerMessageRead(1, NewsWanted(0, 0, era=0)))
        self.sent.clear()
        self.answer.set()
        await task
        self.assertEqual(self.known, (StorePosition(1, 7), ["r1"]))
        ages = {m.age_s for m in self.sent if isinstance(m, NewsSnapshot)}
        self.assertEqual(ages, {0.0})

    async def test_changes_that_a_peer_has_overtaken(self):
        """Guards against a replica that is used again after its removal was known."""
        await self.follower._read_all()
        self.delay("watch")
        task = asyncio.create_task(self.follower._watch_once())
        await self.asked.wait()
        base, later = StorePosition(1, 7), StorePosition(1, 9)
        removed = ReplicasChanged((), ("r2",), later, PEER, base, False)
        self.feed(removed)
        self.answer.set()
        await task
        self.assertEqual(self.known, (later, ["r1"]))

    async def test_list_of_a_store_that_has_gone_back(self):
        """Guards against a host that never reads a store which states no era."""
        self.feed(ReplicasListed((entry("r9"),), StorePosition(1, 50), PEER))
        await self.follower._read_all()
        self.assertEqual(self.known[0], StorePosition(1, 7))
        self.assertIn("r1", self.known[1])


class TestEndedEra(_LateAnswerCase):
    """Other hosts have told of the store's return."""

    async def test_late_answer_to_a_watch(self):
        """Guards against going back to what was written before the return."""
        await self.follower._read_all()
        self.delay("watch")
        task = asyncio.create_task(self.follower._watch_once())
        await self.asked.wait()
        self.now += SILENCE_S
        after_return = StorePosition(2, 3)
        self.feed(ReplicasListed((entry("r1"),), after_return, PEER))
        confirmed_at = self.state.component(UpdateFeed).confirmed_at_
        self.answer.set()
        with self.assertRaises(StoreUnavailable):
            await task
        self.assertEqual(self.known, (after_return, ["r1"]))
        self.assertEqual(self.state.component(UpdateFeed).confirmed_at_, confirmed_at)


class TestReturnFromCopy(_FollowerCase):
    """What a host that reads the store remembers when the store returns from a copy."""

    def answer(self, position: StorePosition, *names: str) -> None:
        """Let the store return a complete list."""
        snapshot = StoreSnapshot(ROUTES, tuple(map(entry, names)), position)
        self.follower.store.read = mock.AsyncMock(return_value=snapshot)

    async def check_copy(self) -> None:
        """Check that a copy which lists both replicas adds none."""
        registry = self.state.component(ReplicaRegistry)
        self.assertEqual(list(registry.replicas_), ["r1"])
        self.answer(StorePosition(2, 7), "r1", "r2")
        await self.follower._read_all()
        self.assertEqual(registry.position_, StorePosition(2, 7))
        self.assertEqual(list(registry.replicas_), ["r1"])

    async def test_replica_whose_leaving_was_watched(self):
        """Guards against a replica that is used again as the copy lists it."""
        self.answer(StorePosition(1, 7), "r1", "r2")
        await self.follower._read_all()
        changes = StoreChanges(None, (), ("r2",), StorePosition(1, 8))
        self.follower.store.watch = mock.AsyncMock(return_value=changes)
        await self.follower._watch_once()
        await self.check_copy()

    async def test_replica_that_a_later_list_lacks(self):
        """Guards against a replica that is used again after a loss of history."""
        self.answer(StorePosition(1, 7), "r1", "r2")
        await self.follower._read_all()
        self.answer(StorePosition(1, 9), "r1")
        await self.follower._read_all()
        await self.check_copy()


class TestAnswersTooLong(_FollowerCase):
    """Changes that are too long for one answer are read in another way."""

    def setUp(self):
        super().setUp()
        self.calls: list[str] = []
        self.too_long: set[str] = set()
        store = self.follower.store
        for name in ("read", "watch"):
            setattr(store, name, self.record(name, getattr(store, name)))
        self.follower._pause = self.pause

    def record(self, name: str, method):
        """Return a method of the store that may fail as its answer is too long."""

        async def call(*args):
            self.calls.append(name)
            await asyncio.sleep(0)  # as each real request does
            if name in self.too_long:
                raise AnswerTooLong("too long")
            return await method(*args)

        return call

    async def pause(self, delay_s: float) -> None:
        """Note a pause, and end the follower after some calls."""
        self.calls.append("pause")
        if len(self.calls) > 8:
            raise asyncio.CancelledError

    async def test_changes(self):
        """Guards against asking for the same changes again and again."""
        self.too_long.add("watch")
        task = asyncio.get_running_loop().create_task(self.follower._run())
        while len(self.calls) < 6:
            await asyncio.sleep(0)
        task.cancel()
        self.assertEqual(self.calls[:6], ["read", "watch"] * 3)
        registry = self.state.component(ReplicaRegistry)
        self.assertIsNone(registry.store_lost_at_)
        self.assertEqual(self.state.component(RouteCatalog).version, 4)

    async def test_everything(self):
        """Guards against asking without a pause for what cannot be read at all."""
        self.too_long.update(("read", "watch"))
        with self.assertRaises(asyncio.CancelledError):
            await self.follower._run()
        self.assertEqual(self.calls, ["read", "pause"] * 5)
        registry = self.state.component(ReplicaRegistry)
        self.assertIsNotNone(registry.store_lost_at_)
