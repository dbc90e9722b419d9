"""In-memory fleet of hosts that handle tickets in the reducer, for tests only."""

import random
from collections import Counter
from dataclasses import dataclass, field
from hashlib import sha256

import msgspec

from jackdawsill.core import (
    Exit,
    FailureKind,
    HostState,
    LogEvent,
    OpenLink,
    PeerMessageRead,
    QueryArrived,
    SendAnswer,
    SendPeer,
    SendRefusal,
    SendSub,
    SetTimer,
    SubAnswered,
    SubFailed,
    Tick,
    TimerFired,
    reduce,
)
from jackdawsill.limits import ConnectionShares
from jackdawsill.membership import Member, MemberTable
from jackdawsill.objects import (
    Caller,
    Group,
    ObjectSet,
    Replica,
    Route,
    Service,
    Shard,
    Snapshot,
)
from jackdawsill.quarantine import Quarantine, Verdict
from jackdawsill.query import attach_query_components
from jackdawsill.spread import ConfigSync
from jackdawsill.stopping import HostLifecycle
from jackdawsill.tickets import TicketManager

TOKENS = {"ana": "token-a", "ben": "token-b"}


def make_objects() -> ObjectSet:
    """Return an object set with two routes that are not repeatable."""
    callers = {
        name: Caller(
            name, "design", sha256(token.encode()).hexdigest(), classes=("proof",)
        )
        for name, token in TOKENS.items()
    }
    replicas = {
        f"p{i}": Replica(f"p{i}", "pedidos", f"10.0.0.{i}", 80, "bogota")
        for i in range(4)
    }
    return ObjectSet(
        1,
        "d1",
        callers=callers,
        groups={"pedidos": Group("pedidos", 3, 200, 1.0)},
        services={"pedidos": Service("pedidos", "pedidos")},
        replicas=replicas,
        snapshots={"v1": Snapshot("v1", "pedidos", 1, (Shard("s1", "pedidos"),))},
        routes={
            name: Route(
                name, "pedidos", ("design",), repeatable=False, classes=("proof",)
            )
            for name in ("order", "reorder")
        },
    )


class FakeMembers:
    """Fake member table with a full mesh of links and the fleet's tombstones."""

    fleet_key = b""  # disables the membership handlers
    confirmed_ = True

    def __init__(self, fleet: "Fleet", member: Member) -> None:
        self.fleet = fleet
        self.self_member = member

    def live_members(self):
        """Return the members that are alive."""
        return tuple(
            h.state.component(MemberTable).self_member
            for h in self.fleet.hosts.values()
            if h.alive
        )

    def link_to(self, incarnation):
        """Return the link to a live host, or None if either host is cut off."""
        return self.fleet.link_between(self.self_member.incarnation, incarnation)

    def is_unavailable(self, incarnation):
        """Return whether a host has crashed or exited."""
        host = self.fleet.hosts.get(incarnation)
        return host is None or not host.alive

    def successor_of(self, incarnation):
        """Return the successor named by a tombstone, or None."""
        return self.fleet.tombstones.get(incarnation)

    def record_successor(self, incarnation, successor, now):
        """Record a tombstone that all hosts know at once."""
        self.fleet.tombstones.setdefault(incarnation, successor)
        return []

    def broadcast(self, message):
        """Drop messages of other components."""
        return []

    def retain_link(self, incarnation, until_at):
        """Do nothing, since no link is ever closed for lack of use."""

    def leave(self):
        """Send nothing."""
        return []


class FakeConfigSync:
    """Fake configuration distribution whose state is set by the test."""

    load_bundle = None  # disables the handlers of configuration distribution
    confirmed_ = True
    is_ready = True

    def ready_to_serve(self, now):
        """Return whether the host may serve."""
        return self.is_ready


class FakeQuarantine:
    """Fake quarantine: suspected after one crash, condemned after two."""

    def __init__(self) -> None:
        self.crashes: Counter[str] = Counter()

    def check(self, fingerprint, now):
        """Return the verdict on a fingerprint."""
        n = min(self.crashes[fingerprint], 2)
        return (Verdict.CLEAR, Verdict.SUSPECT, Verdict.CONDEMNED)[n]

    def on_crash(self, replica, fingerprints, now):
        """Count a crash of each fingerprint."""
        self.crashes.update(fingerprints)
        return ()

    def on_success(self, fingerprint, now):
        """Clear a fingerprint."""
        self.crashes.pop(fingerprint, None)


@dataclass(slots=True)
class FakeHost:
    """One host of the fleet."""

    state: HostState
    alive: bool = True
    is_isolated: bool = False
    timers: dict[str, float] = field(default_factory=dict)


class Fleet:
    """Hosts, messages and sub-requests in transit, and the runs of the backends."""

    def __init__(self, names: str = "abc", manager_type=TicketManager) -> None:
        self.now = 100.0
        self.manager_type = manager_type
        self.hosts: dict[str, FakeHost] = {}
        self.tombstones: dict[str, str] = {}
        self.messages: list[tuple[str, str, object]] = []  # from, to, message
        self.subs: list[tuple[str, SendSub]] = []
        self.ran: Counter[bytes] = Counter()  # number of runs by body
        self.replies: dict[int, SendAnswer | SendRefusal] = {}
        self.logs: list[int] = []
        self.opened: list[str] = []
        self.exits: list[str] = []
        self.n_queries = 0
        for name in names:
            self.add_host(name)

    def add_host(self, name: str) -> None:
        """Start a host; its name is its incarnation."""
        state = HostState(name, "bogota", random.Random(len(self.hosts)))
        member = Member(name, name, f"{name}:7000", "bogota")
        state.components_[MemberTable] = FakeMembers(self, member)
        state.components_[Quarantine] = FakeQuarantine()
        state.components_[ConfigSync] = FakeConfigSync()
        state.attach(HostLifecycle())
        attach_query_components(state, name)
        state.components_[TicketManager] = self.manager_type(name.encode() * 8)
        state.objects_ = make_objects()
        state.component(ConnectionShares).set_objects(state.objects_)
        self.hosts[name] = FakeHost(state)
        self.feed(name, Tick())

    def manager(self, name: str) -> TicketManager:
        """Return the ticket manager of a host."""
        return self.hosts[name].state.component(TicketManager)

    def link_between(self, a: str, b: str) -> int | None:
        """Return the id of the link of `a` to `b`."""
        host, peer = self.hosts.get(a), self.hosts.get(b)
        if (
            a == b
            or host is None
            or peer is None
            or host.is_isolated
            or peer.is_isolated
        ):
            return None
        return 10_000 + sorted(self.hosts).index(b) if peer.alive else None

    def feed(self, name: str, event) -> None:
        """Reduce an event on a host, if it is alive, and carry out the effects."""
        host = self.hosts[name]
        if host.alive:
            self.carry_out(name, reduce(host.state, event, self.now))

    def carry_out(self, name: str, effects) -> None:
        """Queue messages and sub-requests; record the other effects."""
        for effect in effects:
            if isinstance(effect, SendPeer):
                peer = sorted(self.hosts)[effect.link_id - 10_000]
                self.messages.append((name, peer, effect.message))
            elif isinstance(effect, SendSub):
                self.subs.append((name, effect))
            elif isinstance(effect, SendAnswer | SendRefusal):
                self.replies[effect.query_id] = effect
            elif isinstance(effect, LogEvent):
                self.logs.append(effect.number)
            elif isinstance(effect, SetTimer):
                self.hosts[name].timers[effect.timer_id] = effect.at_s
            elif isinstance(effect, OpenLink):
                self.opened.append(effect.address)
            elif isinstance(effect, Exit):
                self.exits.append(name)
                self.hosts[name].alive = False

    def ask(self, name, ticket=None, body=b"x", caller="ana", **fields) -> int:
        """Send a request to a host; return its query id."""
        self.n_queries += 1
        query = QueryArrived(
            self.n_queries, f"r{self.n_queries}", "order", TOKENS[caller], body, 0.34
        )
        if not self.hosts[name].alive:
            return self.n_queries
        request = msgspec.structs.replace(query, ticket=ticket, **fields)
        # The reducer detects a process pause before the query component calls the
        # ticket manager; any event serves for that.
        self.feed(name, TimerFired("none"))
        state = self.hosts[name].state
        effects = state.component(TicketManager).on_request(state, request, self.now)
        self.carry_out(name, effects)
        return self.n_queries

    def ticket(self, name: str, caller: str = "ana") -> str:
        """Return a new ticket issued by a host."""
        return self.replies[self.ask(name, caller=caller)].ticket

    def deliver(self, index: int = 0, keep: bool = False) -> None:
        """Deliver a message; with `keep`, it stays queued and arrives again."""
        sender, peer, message = self.messages[index]
        if not keep:
            del self.messages[index]
        link_id = 10_000 + sorted(self.hosts).index(sender)
        self.feed(peer, PeerMessageRead(link_id, message))

    def deliver_all(self) -> None:
        """Deliver all messages in order."""
        while self.messages:
            self.deliver()

    def answer(self, index: int = 0) -> None:
        """Run a sub-request on its backend server and deliver the answer."""
        name, sub = self.subs.pop(index)
        self.ran[sub.body] += 1
        items = [{"class": "proof", "id": 1}, {"class": "secret", "id": 2}]
        event = SubAnswered(sub.sub_id, sub.request_id, sub.snapshot, sub.shard, items)
        self.feed(name, event)

    def fail(self, kind: FailureKind, index: int = 0, ran: bool = False) -> None:
        """Fail a sub-request; `ran` says whether the backend server ran it."""
        name, sub = self.subs.pop(index)
        self.ran[sub.body] += ran
        self.feed(name, SubFailed(sub.sub_id, kind))

    def code(self, query_id: int) -> int | None:
        """Return 0 for an answer, the code of a refusal, or None without a reply."""
        reply = self.replies.get(query_id)
        if reply is None:
            return None
        return 0 if isinstance(reply, SendAnswer) else reply.error.code
