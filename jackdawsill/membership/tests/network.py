"""In-memory network of hosts with message loss, duplication, partitions and pauses."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from jackdawsill import core
from jackdawsill.core import TICK_INTERVAL_S, HostEntry, HostState, reduce
from jackdawsill.membership import Member, MemberTable


@dataclass
class Node:
    """One process on the network."""

    state: HostState
    member: Member
    alive: bool = True
    wakes_at: float = 0.0  # the process is paused until then
    log: list[core.LogEvent] = field(default_factory=list)
    # Link id -> peer and its id of the link.
    streams: dict[int, tuple["Node", int]] = field(default_factory=dict)
    last_delivery_at: dict[int, float] = field(default_factory=dict)  # by link id

    @property
    def table(self) -> MemberTable:
        return self.state.component(MemberTable)


class FakeNetwork:
    """Run hosts in virtual time; each link delivers in order, except lost messages."""

    def __init__(self, seed: int, loss: float = 0.0, duplication: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.loss, self.duplication = loss, duplication
        self.now = 1000.0
        self.nodes: list[Node] = []
        self.queue: list[tuple[float, int, Node, Any]] = []
        self.serial = itertools.count()
        self.sides: dict[str, int] = {}  # address -> side of a partition
        self.on_read: Callable[[Node, Any], Any] = lambda node, effect: None
        self.on_send: Callable[[Node, Any], None] = lambda node, message: None
        # `listed`: whether the platform's list contains the live hosts.
        self.reduce, self.listed = reduce, True
        self.extra_entries: list[HostEntry] = []  # on the platform list

    def add(self, address: str, domain: str, *components: Any) -> Node:
        """Start a process at an address and kill an earlier one there."""
        for node in [n for n in self.nodes if n.member.address == address]:
            self.kill(node)
        incarnation = f"{self.rng.getrandbits(128):032x}"
        name = f"{address}-{len(self.nodes)}"
        state = HostState(name, domain, random.Random(self.rng.random()))
        member = Member(incarnation, name, address, domain)
        for component in (MemberTable(member, b"key"), *components):
            state.attach(component)
        node = Node(state, member)
        self.nodes.append(node)
        self.post(self.now + self.rng.uniform(0, TICK_INTERVAL_S), node, core.Tick())
        return node

    def live(self) -> list[Node]:
        return [node for node in self.nodes if node.alive]

    def post(self, at: float, node: Node, event: Any) -> None:
        heapq.heappush(self.queue, (at, next(self.serial), node, event))

    def kill(self, node: Node) -> None:
        """End a process; its links are closed."""
        node.alive = False
        for peer, link_id in node.streams.values():
            self.post(self.now + 0.002, peer, core.LinkClosed(link_id, ""))

    def reachable(self, a: Node, b: Node) -> bool:
        sides = [self.sides.get(node.member.address, 0) for node in (a, b)]
        return sides[0] == sides[1] and a.alive and b.alive

    def run(self, duration_s: float, until: Callable[[], bool] | None = None) -> bool:
        """Run for a time, or until a condition holds; return whether it holds.

        The condition is checked once per tick.
        """
        end = self.now + duration_s
        next_check = self.now
        while self.queue and self.queue[0][0] <= end:
            self.now = at = self.queue[0][0]
            if until is not None and at >= next_check:
                next_check = at + TICK_INTERVAL_S
                if until():
                    return True
            _, serial, node, event = heapq.heappop(self.queue)
            if at < node.wakes_at:
                heapq.heappush(self.queue, (node.wakes_at, serial, node, event))
            if not node.alive or at < node.wakes_at:
                continue
            if isinstance(event, core.LinkClosed):
                node.streams.pop(event.link_id, None)
            for effect in self.reduce(node.state, event, at):
                self.carry_out(node, effect)
            if isinstance(event, core.Tick):
                self.post(at + TICK_INTERVAL_S, node, event)
        self.now = end
        return until() if until is not None else False

    def carry_out(self, node: Node, effect: Any) -> None:
        delay_s = self.rng.uniform(0.0005, 0.02)
        match effect:
            case core.OpenLink(link_id, address):
                self.open(node, link_id, address, delay_s)
            case core.CloseLink(link_id):
                peer, peer_link = node.streams.get(link_id, (None, 0))
                self.post(self.now, node, core.LinkClosed(link_id, ""))
                if peer is not None and self.reachable(node, peer):
                    at = max(node.last_delivery_at.get(link_id, 0), self.now) + delay_s
                    self.post(at, peer, core.LinkClosed(peer_link, "", "eof"))
            case core.SendPeer(link_id, message):
                self.send(node, link_id, message, delay_s)
            case core.ReadHostList():
                live = [n.member for n in self.live() if self.listed]
                listed = [HostEntry(m.name, m.address, m.failure_domain) for m in live]
                read = core.HostListRead((*listed, *self.extra_entries))
                self.post(self.now + delay_s, node, read)
            case core.ReadConfig():
                answer = self.on_read(node, effect)
                if answer is not None:
                    self.post(self.now + delay_s, node, answer)
            case core.LogEvent():
                node.log.append(effect)

    def open(self, node: Node, link_id: int, address: str, delay_s: float) -> None:
        peers = [n for n in self.live() if n.member.address == address]
        if not peers or not self.reachable(node, peers[0]):
            at = self.now + (5.0 if peers else delay_s)
            return self.post(at, node, core.LinkClosed(link_id, address, "refused"))
        peer, peer_link = peers[0], peers[0].state.next_id()
        node.streams[link_id] = (peer, peer_link)
        peer.streams[peer_link] = (node, link_id)
        at = self.now + delay_s
        self.post(at, peer, core.LinkOpened(peer_link, "ephemeral", False))
        self.post(at, node, core.LinkOpened(link_id, address, True))

    def send(self, node: Node, link_id: int, message: Any, delay_s: float) -> None:
        self.on_send(node, message)
        peer, peer_link = node.streams.get(link_id, (None, 0))
        if peer is None or not self.reachable(node, peer):
            return
        at = max(self.now + delay_s, node.last_delivery_at.get(link_id, 0.0))
        node.last_delivery_at[link_id] = at
        n_copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(0 if self.rng.random() < self.loss else n_copies):
            self.post(at, peer, core.PeerMessageRead(peer_link, message))
