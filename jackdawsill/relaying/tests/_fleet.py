"""In-memory fleet with one store, which only some of the hosts may reach."""

import random
from collections import deque

import msgspec

from jackdawsill.core import (
    CloseLink,
    HostState,
    LinkClosed,
    LinkOpened,
    LogEvent,
    OpenLink,
    PeerMessageRead,
    SendPeer,
    Tick,
    reduce,
)
from jackdawsill.forwarding import (
    STORE,
    CrashEvidence,
    DelegateHost,
    DelegateTable,
    FleetSize,
    LimitShares,
    ReplicaEntry,
    ReplicaRegistry,
    ReplicasChanged,
    ReplicasListed,
    RouteCatalog,
    RouteSet,
    RoutesRead,
    StoreConfirmed,
    StoreLost,
    StorePosition,
    StoreRegained,
    is_overtaken,
)
from jackdawsill.peers import Decoder, encode
from jackdawsill.relaying import DemandFeed, FollowStore, UpdateFeed
from jackdawsill.relaying._messages import PositionedMessage
from jackdawsill.relaying.tests._store_answer import Answer

TICK_INTERVAL_S = 0.1


def entry(name: str) -> ReplicaEntry:
    """Return the entry of a replica that states neither its start nor a count."""
    return ReplicaEntry(name, "docs", "10.0.0.1:80", "near", 2)


def next_write(before: ReplicaEntry, **changes) -> ReplicaEntry:
    """Return the entry that its replica writes next, with a higher count."""
    sequence = before.sequence + 1 if before.incarnation else 0
    return msgspec.structs.replace(before, sequence=sequence, **changes)


def with_era(message, era: int | None):
    """Return a message that states another era, if it states a position."""
    if not isinstance(message, PositionedMessage):
        return message
    return msgspec.structs.replace(message, era=era)


class Store:
    """Fake store: replicas and a configuration, with a revision for each change."""

    def __init__(self) -> None:
        self.revision = 1
        self.version = 1
        self.entries = {"r1": entry("r1")}
        self.written_at = {"r1": 1}  # name -> revision
        self.removed_at: dict[str, int] = {}
        self.last_removed: tuple[str, ...] = ()
        self.n_starts = 0
        self.era = 1
        self.copied: tuple[int, int, dict, dict] | None = None
        self.lost: tuple[int, dict] | None = None  # until it is written again

    def write(self, name: str) -> None:
        """Register a replica."""
        self.entries[name] = entry(name)
        self.revision += 1
        self.written_at[name] = self.revision

    def start(self, name: str) -> None:
        """Register a replica that states its start, also under a name in use."""
        self.n_starts += 1
        incarnation = str(self.n_starts)
        self.entries[name] = msgspec.structs.replace(
            entry(name), incarnation=incarnation, sequence=1
        )
        self.revision += 1
        self.written_at[name] = self.revision

    def remove(self, name: str) -> None:
        """Remove a replica."""
        del self.entries[name]
        self.revision += 1
        self.removed_at[name] = self.revision

    def drain(self, name: str) -> None:
        """Let a replica report that it drains."""
        self.entries[name] = next_write(self.entries[name], draining=True)
        self.revision += 1
        self.written_at[name] = self.revision

    def copy(self) -> None:
        """Take a copy of the contents."""
        copied = dict(self.entries), dict(self.written_at)
        self.copied = (self.revision, self.version, *copied)

    def restore(self) -> None:
        """Return from the copy."""
        if self.lost is None:
            self.lost = self.version, self.entries
        self.revision, self.version, entries, written_at = self.copied
        self.entries, self.written_at = dict(entries), dict(written_at)
        self.removed_at.clear()
        self.era += 1

    def write_again(self) -> None:
        """Let the writers make their lost changes again."""
        if self.lost is None:
            return
        version, entries = self.lost
        for name in sorted(entries):
            if self.entries.get(name) != entries[name]:
                self.entries[name] = entries[name]
                self.revision += 1
                self.written_at[name] = self.revision
        if version > self.version:
            self.version = version
            self.revision += 1

    def expire(self) -> None:
        """Remove the entries of replicas that have left, as they are not written."""
        if self.lost is None:
            return
        _, entries = self.lost
        self.lost = None
        for name in sorted(self.entries.keys() - entries.keys()):
            self.remove(name)

    def configure(self) -> None:
        """Publish a new configuration."""
        self.version += 1
        self.revision += 1

    @property
    def position(self) -> StorePosition:
        """Return the position of the last change."""
        return StorePosition(self.era, self.revision)

    def routes(self) -> RouteSet:
        """Return the configuration."""
        return RouteSet(self.version, (), {})


class Host:
    """One host; it reads the store at each tick while `FollowStore` is in effect.

    A host of an older build knows nothing of eras: all positions that it has are of era
    0, and its messages state none.
    """

    def __init__(
        self, fleet: "Fleet", address: str, *, first_start: bool, is_older: bool = False
    ) -> None:
        self.fleet = fleet
        self.is_older = is_older
        self.address = address
        self.state = HostState(address, "near", random.Random(1))
        self.feed = UpdateFeed(address, fleet.seeds, is_first_start=first_start)
        fleet_size = FleetSize()
        for component in (
            RouteCatalog(),
            ReplicaRegistry("near", {}, LimitShares(fleet_size)),
            fleet_size,
            CrashEvidence(),
            DelegateTable(100.0, DelegateHost(address, f"{address}:1", "near")),
            DemandFeed(),
            self.feed,
        ):
            self.state.attach(component)
        self.follows = False
        self.reaches_store = True
        self.answer_delay_s = 0.0  # of the store
        self.awaited: Answer | None = None  # on its way
        self.n_reads = 0
        self.n_bytes_sent = 0
        self.logs: list[int] = []  # numbers of log events

    def handle(self, event) -> None:
        """Reduce an event and carry out its effects."""
        if self.is_older and isinstance(event, PeerMessageRead):
            event = PeerMessageRead(event.link_id, with_era(event.message, 0))
        for effect in reduce(self.state, event, self.fleet.now):
            if isinstance(effect, FollowStore):
                self.follows = effect.enabled
            elif isinstance(effect, OpenLink):
                self.fleet.open(self, effect)
            elif isinstance(effect, CloseLink):
                self.fleet.close(self, effect.link_id)
            elif isinstance(effect, SendPeer):
                self.fleet.send(self, effect.link_id, effect.message)
            elif isinstance(effect, LogEvent):
                self.logs.append(effect.number)

    def follow(self) -> None:
        """Ask the store for changes since this host's revision, or use its answer."""
        if not self.follows:
            return
        if not self.reaches_store:
            self.awaited = None
            self.handle(StoreLost("refused"))
            return
        if self.awaited is None:
            self.n_reads += 1
            self.awaited = self.ask_store()
        if self.fleet.now < self.awaited.due_at:
            return
        answer, self.awaited = self.awaited, None
        known = self.state.component(ReplicaRegistry).position_
        if known is not None and answer.position.era < known.era:
            return
        self.handle(StoreRegained())
        self.handle(StoreConfirmed(answer.asked_from or answer.position))
        is_old = is_overtaken(answer.position, answer.asked_from, known)
        if answer.replicas is not None and not is_old:
            self.handle(answer.replicas)
        if answer.routes is not None:
            self.handle(answer.routes)
        self.handle(StoreConfirmed(answer.position))

    def ask_store(self) -> Answer:
        """Return the answer of the store to a read or watch of this host."""
        store = self.fleet.store
        known = self.state.component(ReplicaRegistry).position_
        position = StorePosition(0 if self.is_older else store.era, store.revision)
        answer = Answer(self.fleet.now + self.answer_delay_s, known, position)
        # A watch from another era, or from a later revision, gets no changes.
        if known is None or known.era != position.era or known > position:
            entries = tuple(store.entries.values())
            answer.replicas = ReplicasListed(entries, position, STORE)
        elif known < position:
            removed = tuple(
                name
                for name, revision in store.removed_at.items()
                if revision > known.revision and name not in store.entries
            )
            written = tuple(
                e
                for name, e in store.entries.items()
                if store.written_at[name] > known.revision
            )
            if written or removed:
                answer.replicas = ReplicasChanged(
                    written, removed, position, STORE, known
                )
        if self.state.component(RouteCatalog).version < store.version:
            answer.routes = RoutesRead(store.routes(), STORE)
        return answer

    @property
    def known(self) -> tuple[int, list[str]]:
        """Return the configuration's version and the names of the replicas."""
        registry = self.state.component(ReplicaRegistry)
        return self.state.component(RouteCatalog).version, sorted(registry.replicas_)


class Fleet:
    """Carry messages between hosts in order."""

    def __init__(self, n_hosts: int, n_seeds: int = 3, *, first_start: bool = True):
        self.now = 100.0
        self.store = Store()
        self.seeds = tuple(f"h{i}" for i in range(n_seeds))
        self.ends: dict[tuple[Host, int], tuple[Host, int]] = {}
        self.queue: deque = deque()
        self.hosts = {
            f"h{i}": Host(self, f"h{i}", first_start=first_start)
            for i in range(n_hosts)
        }
        self.down: set[str] = set()
        # Suspended host -> events that it handles once it runs again.
        self.frozen: dict[str, list] = {}
        # Messages sent while others are delivered arrive one tick later.
        self.is_slow = False
        # Pairs of hosts whose messages are dropped while their links stay open.
        self.muted: set[frozenset[str]] = set()
        # Links that carry nothing any more, not even a close, at either end.
        self.silent: set[tuple[Host, int]] = set()

    def silence_links(self, addresses) -> None:
        """Silence the open links between some hosts for good; new links work."""
        self.silent.update(
            (host, link_id)
            for (host, link_id), (other, _) in self.ends.items()
            if host.address in addresses and other.address in addresses
        )

    def open(self, host: Host, effect: OpenLink) -> None:
        """Connect two hosts, if the other one is up."""
        other = self.hosts.get(effect.address)
        if other is None or other.address in self.down:
            closed = LinkClosed(effect.link_id, effect.address, "refused")
            self.queue.append((host, closed))
            return
        other_id = other.state.next_id()
        self.ends[host, effect.link_id] = (other, other_id)
        self.ends[other, other_id] = (host, effect.link_id)
        opened = LinkOpened(effect.link_id, effect.address, True)
        self.queue.append((other, LinkOpened(other_id, host.address, False)))
        self.queue.append((host, opened))

    def close(self, host: Host, link_id: int) -> None:
        """Close a link at both ends."""
        end = self.ends.pop((host, link_id), None)
        self.queue.append((host, LinkClosed(link_id, "", "closed")))
        if end is not None and (host, link_id) not in self.silent:
            self.ends.pop(end, None)
            self.queue.append((end[0], LinkClosed(end[1], host.address, "closed")))

    def send(self, host: Host, link_id: int, message) -> None:
        """Queue a message after encoding and decoding it."""
        if host.is_older:
            message = with_era(message, None)
        end = self.ends.get((host, link_id))
        is_muted = end and frozenset((host.address, end[0].address)) in self.muted
        is_muted = is_muted or (host, link_id) in self.silent
        if end is not None and not is_muted:
            data = encode(message)
            host.n_bytes_sent += len(data)
            (copy,) = Decoder().feed(data)
            self.queue.append((end[0], PeerMessageRead(end[1], copy)))

    def stop(self, address: str) -> None:
        """Stop a host without closing its links."""
        self.down.add(address)

    def thaw(self, address: str) -> None:
        """Let a suspended host run again; it first handles what has arrived."""
        self.queue.extend(self.frozen.pop(address))

    def restart(self, address: str, *, is_older: bool = False) -> None:
        """Replace a host by a new process; the links of the old one are closed."""
        old = self.hosts[address]
        for (host, link_id), (other, other_id) in list(self.ends.items()):
            if host is old:
                del self.ends[host, link_id]
                self.ends.pop((other, other_id), None)
                self.queue.append((other, LinkClosed(other_id, address, "reset")))
        self.queue = deque(item for item in self.queue if item[0] is not old)
        self.hosts[address] = Host(self, address, first_start=False, is_older=is_older)
        self.down.discard(address)
        self.frozen.pop(address, None)

    def run(self, seconds: float) -> None:
        """Run ticks for a number of seconds."""
        for _ in range(round(seconds / TICK_INTERVAL_S)):
            self.now += TICK_INTERVAL_S
            for host in self.hosts.values():
                if host.address not in self.down and host.address not in self.frozen:
                    host.handle(Tick())
                    host.follow()
            self.deliver()

    def deliver(self) -> None:
        """Deliver all messages, or with `is_slow` only those queued at the call."""
        n_delivered = 0
        n_due = len(self.queue)
        while self.queue and not (self.is_slow and n_delivered == n_due):
            host, event = self.queue.popleft()
            n_delivered += 1
            assert n_delivered < 10_000, "messages circulate forever"
            if host.address in self.frozen:
                self.frozen[host.address].append((host, event))
            elif host.address not in self.down:
                host.handle(event)

    def outdated_hosts(self) -> list[str]:
        """Return the live hosts whose state differs from the store."""
        wanted = (self.store.version, sorted(self.store.entries))
        return [
            host.address
            for host in self.hosts.values()
            if host.address not in self.down and host.known != wanted
        ]
