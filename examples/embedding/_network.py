"""In-memory transport: how an embedding program executes effects."""

import random
from collections import deque
from collections.abc import Callable
from typing import Any

from jackdawsill.core import (
    TICK_INTERVAL_S,
    ClearTimer,
    CloseLink,
    ConfigRead,
    Effect,
    Event,
    HostEntry,
    HostListRead,
    HostState,
    LinkClosed,
    LinkOpened,
    OpenLink,
    PeerMessageRead,
    ReadConfig,
    ReadHostList,
    SendPeer,
    SetTimer,
    Tick,
    TimerFired,
    reduce,
)
from jackdawsill.membership import Member, MemberTable
from jackdawsill.peers import Decoder, encode

FLEET_KEY = b"a secret that all hosts share"


class Network:
    """Network of hosts in virtual time.

    A real program uses TCP connections and an event loop instead. `hosts` are by
    address. `links` maps the address and link id of one end to those of the other.
    `timers` maps an address and timer id to the time. `read_config` gets an address and
    a key. `other_effects` holds effects that the example handles, with the address.
    """

    def __init__(self) -> None:
        self.now = 100.0
        self.hosts: dict[str, HostState] = {}
        self.links: dict[tuple[str, int], tuple[str, int]] = {}
        self.timers: dict[tuple[str, str], float] = {}
        self.queue: deque[tuple[str, Event]] = deque()
        self.read_config: Callable[[str, str], bytes | None] = lambda address, key: None
        self.other_effects: list[tuple[str, Effect]] = []

    def add(self, name: str, failure_domain: str, *components: Any) -> HostState:
        """Start a host with a member table and further components."""
        state = HostState(name, failure_domain, random.Random(len(self.hosts)))
        incarnation = f"{state.rng.getrandbits(128):032x}"
        member = Member(incarnation, name, f"{name}:7000", failure_domain)
        for component in (MemberTable(member, FLEET_KEY), *components):
            state.attach(component)
        self.hosts[member.address] = state
        return state

    def crash(self, name: str) -> None:
        """Remove a host without closing its links, as a loss of power does."""
        del self.hosts[f"{name}:7000"]

    def run(self, duration_s: float) -> None:
        """Advance the time: fire timers, send ticks, execute effects immediately."""
        end_at = self.now + duration_s
        while self.now < end_at:
            self.now += TICK_INTERVAL_S
            due = [key for key, at_s in self.timers.items() if at_s <= self.now]
            for address, timer_id in due:
                del self.timers[address, timer_id]
                self.feed(address, TimerFired(timer_id))
            for address in list(self.hosts):
                self.feed(address, Tick())

    def feed(self, address: str, event: Event) -> None:
        """Run the reducer of a host on an event, then on all events that result."""
        self.queue.append((address, event))
        while self.queue:
            address, event = self.queue.popleft()
            state = self.hosts.get(address)
            if state is not None:
                for effect in reduce(state, event, self.now):
                    self.execute(address, effect)

    def execute(self, address: str, effect: Effect) -> None:
        """Execute one effect of the host at `address`."""
        match effect:
            case OpenLink(link_id, peer):
                if peer not in self.hosts:
                    self.queue.append((address, LinkClosed(link_id, peer, "refused")))
                    return
                peer_link = self.hosts[peer].next_id()
                self.links[address, link_id] = (peer, peer_link)
                self.links[peer, peer_link] = (address, link_id)
                self.queue.append((peer, LinkOpened(peer_link, address, False)))
                self.queue.append((address, LinkOpened(link_id, peer, True)))
            case CloseLink(link_id):
                self.queue.append((address, LinkClosed(link_id, "")))
                peer, peer_link = self.links.pop((address, link_id), ("", 0))
                if self.links.pop((peer, peer_link), None):
                    self.queue.append((peer, LinkClosed(peer_link, "")))
            case SendPeer(link_id, message):
                # On a closed link the message is lost: no host has the address "".
                peer, peer_link = self.links.get((address, link_id), ("", 0))
                for received in Decoder().feed(encode(message)):
                    self.queue.append((peer, PeerMessageRead(peer_link, received)))
            case SetTimer(timer_id, at_s):
                self.timers[address, timer_id] = at_s
            case ClearTimer(timer_id):
                self.timers.pop((address, timer_id), None)
            case ReadHostList():
                members = [
                    s.component(MemberTable).self_member for s in self.hosts.values()
                ]
                entries = [
                    HostEntry(m.name, m.address, m.failure_domain) for m in members
                ]
                self.queue.append((address, HostListRead(tuple(entries))))
            case ReadConfig(key):
                value = self.read_config(address, key)
                self.queue.append((address, ConfigRead(key, value, "1")))
            case _:
                self.other_effects.append((address, effect))
