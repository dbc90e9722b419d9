"""Stateful search for orders of faults after which a host has an outdated state."""

import unittest
from collections import deque
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from jackdawsill.core.tests.searches import search, search_broken
from jackdawsill.forwarding import (
    LimitReported,
    ReplicaEntry,
    ReplicaRegistry,
    ReplicaSignals,
    ReplicaSpoke,
    StorePosition,
)
from jackdawsill.forwarding._leaving import LeavingReplicas
from jackdawsill.forwarding._registry import LAPSE_KEPT_S
from jackdawsill.relaying import _feed, _handlers, _messages, _updates
from jackdawsill.relaying.tests._fleet import Fleet, Host

N_HOSTS = 6
# Time within which a change must reach every host that has had no fault for CALM_S. It
# is the shortest limit that users set; CALM_S is the window of the users' sites.
IN_FORCE_S = 3.0
CALM_S = 4.0
# The store returns from copies up to this old.
COPY_AGE_MAX_S = 15.0
SEARCH = search(60, 25)
# Some of the faults need several hundred examples; a search ends at the first finding.
BROKEN = search_broken(3000, 25)
CHANGES = ("write", "start", "restart", "drain", "remove", "configure")
change_kind = st.sampled_from(CHANGES)
host = st.sampled_from([f"h{i}" for i in range(N_HOSTS)])


def run_state(entry: ReplicaEntry) -> tuple[str, bool]:
    """Return which run of its replica an entry describes, and whether it drains."""
    return entry.incarnation, entry.draining


class Relaying(RuleBasedStateMachine):
    """Hosts, links and a store with faults; hosts without recent faults are checked."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(N_HOSTS)
        self.fleet.is_slow = True
        self.disturbed = dict.fromkeys(self.fleet.hosts, self.fleet.now)
        self.n_names = 1
        # Processes of replicas that have told a host that they leave, and the limits
        # that processes have stated to any host.
        self.heard: dict[str, set[tuple[str, str]]] = {h: set() for h in self.disturbed}
        self.stated: dict[tuple[str, str], set[float | None]] = {}
        self.copied_at = -COPY_AGE_MAX_S
        # States of the store: (time, configuration version, replicas by name).
        self.history: deque = deque()
        self.note()

    def note(self) -> None:
        """Record the state of the store."""
        store = self.fleet.store
        self.history.append((self.fleet.now, store.version, dict(store.entries)))

    def check(self) -> None:
        """Check the state of all hosts without recent faults."""
        now = self.fleet.now
        limit = now - IN_FORCE_S
        while len(self.history) > 1 and self.history[1][0] <= limit:
            self.history.popleft()
        version = self.history[0][1]
        listed = [entries for _, _, entries in self.history]
        names = [frozenset(entries) for entries in listed]
        for address, known in self.fleet.hosts.items():
            is_calm = now - self.disturbed[address] >= CALM_S and known.reaches_store
            is_running = address not in self.fleet.down | self.fleet.frozen.keys()
            if is_running:
                self.check_words(address, known.state.component(ReplicaRegistry))
            if not is_running or known.is_older or not is_calm:
                continue
            registry = known.state.component(ReplicaRegistry)
            assert known.known[0] >= version, f"{address} has an old configuration"
            lasting = frozenset.intersection(*names)
            lacking = lasting - set(registry.replicas_)
            # A draining replica gets no calls, so it may be missing.
            lacking = {n for n in lacking if not any(e[n].draining for e in listed)}
            assert not lacking, f"{address} lacks replicas"
            # A lapsed replica may be kept until it had time to register again.
            kept = {
                name
                for name, replica in registry.replicas_.items()
                if replica.lapsed_at is not None
                and now - replica.lapsed_at <= LAPSE_KEPT_S
            }
            gone = set(registry.replicas_) - kept - frozenset.union(*names)
            assert not gone, f"{address} keeps replicas that are gone"
            for name in lasting & set(registry.replicas_):
                state = run_state(registry.replicas_[name].entry)
                recent = {run_state(entries[name]) for entries in listed}
                assert state in recent, f"{address} has an old entry of {name}"

    def check_words(self, address: str, registry: ReplicaRegistry) -> None:
        """Check what a host makes of what replicas have said, with faults or not."""
        used = {
            replica.entry.name
            for replicas in registry.by_service_.values()
            for replica in replicas
        }
        usable = set()
        for name, replica in registry.replicas_.items():
            process = name, replica.entry.incarnation
            if process in self.heard[address]:
                assert name not in used, f"{address} uses {name}, which leaves"
            elif not replica.entry.draining and not self.has_later_word(
                address, process
            ):
                usable.add(name)
            share = replica.rate_share
            if share is not None:
                stated = self.stated.get(process, set())
                assert share.limit_per_s in stated, f"{address} has a limit of nobody"
        # All replicas are of one service.
        assert used or not usable, f"{address} has no replica left by reports"

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 2.0, 3.0)))
    def time_passes(self, seconds):
        """Hosts handle ticks and messages."""
        for _ in range(round(seconds / 0.1)):
            self.fleet.run(0.1)
            self.check()

    @rule(whats=st.lists(change_kind, min_size=1, max_size=4))
    def change(self, whats):
        """The store changes at one or several successive ticks."""
        for what in whats:
            self._change(what)
            self.time_passes(0.1)

    def _change(self, what: str) -> None:
        store = self.fleet.store
        ready = [name for name, entry in store.entries.items() if not entry.draining]
        if what in ("write", "start"):
            self.n_names += 1
            getattr(store, what)(f"r{self.n_names}")
        elif what == "configure":
            store.configure()
        elif what == "restart":
            store.start(max(store.entries))
        elif what == "drain" and ready:
            store.drain(min(ready))
        elif what == "remove" and len(store.entries) > 1:
            store.remove(min(store.entries))
        self.note()

    def has_later_word(self, address: str, process: tuple[str, str]) -> bool:
        """Return whether a later process of a name has told a host that it leaves."""
        name, incarnation = process
        return any(
            heard == name and int(later) > int(incarnation or 0)
            for heard, later in self.heard[address]
        )

    def running_host(self, address: str) -> Host | None:
        """Return a host that can receive an answer of a replica, or None."""
        is_running = address not in self.fleet.down | self.fleet.frozen.keys()
        return self.fleet.hosts[address] if is_running else None

    @rule(address=host, i=st.integers(0, 9))
    def leave(self, address, i):
        """A process of a replica tells a host that it leaves."""
        known = self.running_host(address)
        entries = [] if known is None else self.started_entries(known)
        if not entries:
            return
        entry = entries[i % len(entries)]
        signals = ReplicaSignals(is_leaving=True)
        known.handle(ReplicaSpoke(entry.name, entry.incarnation, "q", 200, signals))
        self.heard[address].add((entry.name, entry.incarnation))
        self.time_passes(0.1)

    @rule(address=host, i=st.integers(0, 9), limit=st.sampled_from((None, 2.0, 9.0)))
    def state_limit(self, address, i, limit):
        """A host hears of the limit of a process, or of its end."""
        known = self.running_host(address)
        entries = [] if known is None else self.started_entries(known)
        if not entries:
            return
        entry = entries[i % len(entries)]
        self.stated.setdefault((entry.name, entry.incarnation), set()).add(limit)
        known.handle(LimitReported(entry.name, entry.incarnation, limit, 0.0))
        self.time_passes(0.1)

    def started_entries(self, known: Host) -> list[ReplicaEntry]:
        """Return the entries that a host has of processes that can be told apart."""
        replicas = known.state.component(ReplicaRegistry).replicas_
        entries = [replicas[name].entry for name in sorted(replicas)]
        return [entry for entry in entries if entry.incarnation]

    @rule()
    def copy(self):
        """The store takes a copy of its contents."""
        if self.fleet.store.lost is None:
            self.fleet.store.copy()
            self.copied_at = self.fleet.now

    @rule(
        whats=st.lists(change_kind, max_size=6),
        away_s=st.sampled_from((0.0, 0.3, 1.0)),
        again_s=st.sampled_from((0.0, 1.5)),
        expiry_s=st.sampled_from((0.0, 2.0)),
        is_twice=st.booleans(),
    )
    def return_from_copy(self, whats, away_s, again_s, expiry_s, is_twice):
        """The store is away after some changes, and returns from a copy.

        It is the last one if that is recent, or one from before the changes. What was
        written since is written again `again_s` seconds after the return, and the
        entries of replicas that left are removed `expiry_s` seconds later.
        """
        store = self.fleet.store
        if self.fleet.now - self.copied_at > COPY_AGE_MAX_S:
            self.copy()
        for what in whats:
            self._change(what)
            self.time_passes(0.1)
        reached = [h for h in self.fleet.hosts.values() if h.reaches_store]
        for known in reached:
            known.reaches_store = False
            self.disturbed[known.address] = self.fleet.now
        store.restore()
        if is_twice:
            store.restore()
        self.note()
        self.time_passes(away_s)
        for known in reached:
            known.reaches_store = True
            self.disturbed[known.address] = self.fleet.now
        self.time_passes(again_s)
        store.write_again()
        self.note()
        self.time_passes(expiry_s)
        store.expire()
        self.note()

    @rule(address=host, is_older=st.sampled_from((False, False, True)))
    def restart(self, address, is_older):
        """A host restarts, some of them with a build that does not know eras."""
        self.disturbed[address] = self.fleet.now
        self.heard[address].clear()
        self.fleet.restart(address, is_older=is_older)

    @rule(address=host)
    def fall_silent(self, address):
        """A host stops without closing its links."""
        self.disturbed[address] = self.fleet.now
        self.fleet.stop(address)

    @rule(address=host)
    def freeze_or_thaw(self, address):
        """A host is suspended with its links open, or runs again."""
        self.disturbed[address] = self.fleet.now
        if address in self.fleet.frozen:
            self.fleet.thaw(address)
        else:
            self.fleet.frozen[address] = []

    @rule(address=host, reaches=st.booleans())
    def store_for(self, address, reaches):
        """The store becomes unreachable for a host, or reachable again."""
        known = self.fleet.hosts[address]
        if known.reaches_store != reaches:
            self.disturbed[address] = self.fleet.now
            known.reaches_store = reaches

    @rule(address=host, delay_s=st.sampled_from((0.0, 0.3, 0.8)))
    def answers_of_the_store(self, address, delay_s):
        """Answers of the store take longer on their way to a host, or no longer."""
        self.fleet.hosts[address].answer_delay_s = delay_s

    @rule(pair=st.sets(host, min_size=2, max_size=2))
    def mute(self, pair):
        """The link between two hosts starts or stops losing all messages."""
        self.fleet.muted ^= {frozenset(pair)}


class TestRelaying(unittest.TestCase):
    """A host that reaches the store and has no recent fault gets changes in time."""

    def test_search(self):
        """Guards against hosts with old routes or replicas after faults."""
        run_state_machine_as_test(Relaying, settings=SEARCH)


class TestInjectedFaults(unittest.TestCase):
    """The search detects each fault injected into the decisions."""

    def finds(self, message: str, *patches) -> None:
        """Assert that the search fails with a message while the patches apply."""
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        with self.assertRaisesRegex(AssertionError, message):
            run_state_machine_as_test(Relaying, settings=BROKEN)

    def test_late_detection_of_old_updates(self):
        """Guards against a search that misses hosts with old state."""
        # Either limit alone detects a silent relay, so both are raised.
        self.finds(
            "has an old configuration|lacks replicas|keeps replicas|old entry",
            mock.patch.object(_feed, "FOLLOW_STORE_AFTER_S", 9.0),
            mock.patch.object(_handlers, "STALE_S", 9.0),
            mock.patch.object(_updates, "STALE_S", 9.0),
        )

    def test_heartbeats_that_hide_a_missed_change(self):
        """Guards against a search in which no heartbeat precedes a snapshot."""
        never = property(lambda feed: False, lambda feed, value: None)
        # Comparing digests alone repairs the state, so it is broken as well.
        self.finds(
            "replicas|old entry",
            mock.patch.object(_feed.UpdateFeed, "awaits_snapshot_", never),
            mock.patch.object(_updates, "_is_lacking", lambda state, message: False),
        )

    def test_lost_changes(self):
        """Guards against a search that misses hosts without some replicas."""
        broadcast = _handlers.broadcast_change

        def routes_only(state, change, now):
            return broadcast(state, change, now) if change.routes is not None else []

        # Comparing digests alone repairs the state, so it is broken as well.
        self.finds(
            "replicas|old entry",
            mock.patch.object(_handlers, "broadcast_change", routes_only),
            mock.patch.object(_updates, "_is_lacking", lambda state, message: False),
        )

    def test_updates_ordered_by_revision_alone(self):
        """Guards against a search that misses what a return from a copy hides."""
        revision_alone = property(lambda message: StorePosition(1, message.revision))
        self.finds(
            "replicas|old entry",
            mock.patch.object(_messages.PositionedMessage, "position", revision_alone),
        )

    def test_word_that_ends_with_a_change_of_the_entry(self):
        """Guards against a search that misses a use of a replica that leaves."""

        def is_leaving(leaving, entry):
            known = leaving.leaving_.get(entry.name)
            return known is not None and known.incarnation == entry.incarnation + "x"

        self.finds(
            "which leaves",
            mock.patch.object(LeavingReplicas, "is_leaving", is_leaving),
        )

    def test_reports_that_empty_a_service(self):
        """Guards against a search in which reports never reach the last replica."""
        self.finds(
            "no replica left",
            mock.patch.object(
                LeavingReplicas, "is_only_reported", lambda leaving, entry: False
            ),
        )
