"""In-memory transport: what an embedding program does with the effects."""

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
    """Run hosts in virtual time; a real program uses TCP streams and a loop."""

    def __init__(self) -> None:
        self.now = 100.0
        self.hosts: dict[str, HostState] = {}
        self.streams: dict[tuple[str, int], tuple[str, int]] = {}
        self.timers: dict[tuple[str, str], float] = {}
        self.queue: deque[tuple[str, Event]] = deque()
        self.read_config: Callable[[str, str], bytes | None] = lambda host, key: None
        self.others: list[tuple[str, Effect]] = []  # effects for the example

    def add(self, name: str, failure_domain: str, *parts: Any) -> HostState:
        """Start a host with a member table and further components."""
        state = HostState(name, failure_domain, random.Random(len(self.hosts)))
        incarnation = f"{state.rng.getrandbits(128):032x}"
        member = Member(incarnation, name, f"{name}:7000", failure_domain)
        for part in (MemberTable(member, FLEET_KEY), *parts):
            state.attach(part)
        self.hosts[member.address] = state
        return state

    def stop(self, name: str) -> None:
        """End a host without notice; its streams fall silent."""
        del self.hosts[f"{name}:7000"]

    def run(self, duration_s: float) -> None:
        """Fire timers, send ticks, and carry out all effects at once."""
        until = self.now + duration_s
        while self.now < until:
            self.now += TICK_INTERVAL_S
            due = [key for key, at_s in self.timers.items() if at_s <= self.now]
            for address, timer_id in due:
                del self.timers[address, timer_id]
                self.feed(address, TimerFired(timer_id))
            for address in list(self.hosts):
                self.feed(address, Tick())

    def feed(self, address: str, event: Event) -> None:
        """Give an event to a host, and the events that follow to theirs."""
        self.queue.append((address, event))
        while self.queue:
            address, event = self.queue.popleft()
            state = self.hosts.get(address)
            if state is not None:
                for effect in reduce(state, event, self.now):
                    self.carry_out(address, effect)

    def carry_out(self, address: str, effect: Effect) -> None:
        """Do what an effect asks for."""
        match effect:
            case OpenLink(link_id, to):
                if to not in self.hosts:
                    self.queue.append((address, LinkClosed(link_id, to, "refused")))
                    return
                peer_link = self.hosts[to].next_id()
                self.streams[address, link_id] = (to, peer_link)
                self.streams[to, peer_link] = (address, link_id)
                self.queue.append((to, LinkOpened(peer_link, address, False)))
                self.queue.append((address, LinkOpened(link_id, to, True)))
            case CloseLink(link_id):
                self.queue.append((address, LinkClosed(link_id, "")))
                to, peer_link = self.streams.pop((address, link_id), ("", 0))
                if self.streams.pop((to, peer_link), None):
                    self.queue.append((to, LinkClosed(peer_link, "")))
            case SendPeer(link_id, message):
                to, peer_link = self.streams.get((address, link_id), ("", 0))
                for received in Decoder().feed(encode(message)):
                    self.queue.append((to, PeerMessageRead(peer_link, received)))
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
                self.others.append((address, effect))
