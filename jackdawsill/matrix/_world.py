"""Deterministic simulation that runs several hosts through the reducer.

Time is virtual, all random numbers come from one seed, and every effect of a host is
executed against the fakes of this subpackage.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from jackdawsill.core import (
    TICK_INTERVAL_S,
    CancelSub,
    ClearTimer,
    CloseLink,
    ConfigRead,
    ConfigReadFailed,
    Effect,
    Event,
    Exit,
    HostEntry,
    HostListRead,
    HostState,
    LinkClosed,
    LinkOpened,
    OpenLink,
    PeerMessageRead,
    QueryArrived,
    ReadConfig,
    ReadHostList,
    SendAnswer,
    SendPeer,
    SendRefusal,
    SendSub,
    SetReadiness,
    SetTimer,
    Tick,
    TimerFired,
    reduce,
)
from jackdawsill.matrix._backends import BackendNetwork
from jackdawsill.matrix._fakes import FakeConfigService, FakeHostList
from jackdawsill.matrix._journal import GenerationSeen, Journal, Reply
from jackdawsill.stopping import HostLifecycle

PEER_LATENCY_S = 0.001
CONFIG_LATENCY_S = 0.004
# A broken TCP connection is detected by its keep-alive, not immediately.
BROKEN_LINK_DETECTION_S = 3.0


class FakeHost:
    """One host process: its state, timers, links and unanswered attempts.

    `timers` maps a timer to its time and a setting id, by which a timer that was set
    again ignores its earlier time. `links` maps a link to the peer's name and the
    peer's id of the link. `epoch` counts the earlier processes of the host.
    """

    def __init__(self, name: str, address: str, failure_domain: str) -> None:
        self.name = name
        self.address = address
        self.failure_domain = failure_domain
        self.state: HostState | None = None
        self.incarnation = ""
        self.alive = False
        self.ready = False
        self.paused_until = 0.0
        self.timers: dict[str, tuple[float, int]] = {}
        self.links: dict[int, tuple[str, int]] = {}
        self.attempts: dict[int, Any] = {}
        self.epoch = 0


class World:
    """Event loop in virtual time that runs hosts against the fakes.

    `listeners` are called at each hook, `observers` after each event of a host.
    """

    def __init__(
        self,
        build: Callable[["World", FakeHost], HostState],
        backends: BackendNetwork,
        seed: int,
    ) -> None:
        self.build = build
        self.backends = backends
        self.rng = random.Random(seed)
        self.now = 100.0
        self.hosts: dict[str, FakeHost] = {}
        self.config = FakeConfigService()
        self.host_list = FakeHostList()
        self.journal = Journal()
        self.partitions: set[frozenset[str]] = set()
        self.hosts_without_config: set[str] = set()
        self.listeners: list[Callable[[str, FakeHost | None, Any], None]] = []
        self.observers: list[Callable[[FakeHost, Event], None]] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        backends.attach(self)

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule `action` at a virtual time."""
        heapq.heappush(self._queue, (max(at_s, self.now), next(self._sequence), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule `action` after a delay."""
        self.at(self.now + delay_s, action)

    def run_until(self, end_s: float) -> None:
        """Run all actions due by `end_s`."""
        while self._queue and self._queue[0][0] <= end_s:
            at_s, _, action = heapq.heappop(self._queue)
            self.now = at_s
            action()
        self.now = end_s

    def fire(self, hook: str, host: FakeHost | None, detail: Any = None) -> None:
        """Call the listeners, which inject faults, for a hook that was reached."""
        for listener in list(self.listeners):
            listener(hook, host, detail)

    # Hosts

    def start_host(self, name: str, address: str, failure_domain: str) -> FakeHost:
        """Start a process of a host; an earlier process of it must have ended."""
        earlier = self.hosts.get(name)
        host = FakeHost(name, address, failure_domain)
        host.epoch = earlier.epoch + 1 if earlier else 0
        host.incarnation = f"{self.rng.getrandbits(128):032x}"
        host.state = self.build(self, host)
        host.alive = True
        self.hosts[name] = host
        self.publish_host_list()
        self.after(self.rng.random() * TICK_INTERVAL_S, lambda: self._tick(host))
        return host

    def crash_process(self, host: FakeHost) -> None:
        """Crash a process; its peers get closed links."""
        host.alive = False
        host.ready = False
        for attempt in host.attempts.values():
            attempt.host_ended = True
        for link_id in list(host.links):
            self._close_link(host, link_id, notify_peer=True)
        self.publish_host_list()

    def publish_host_list(self) -> None:
        """Update the platform's host list to the processes that are alive."""
        self.host_list.update(
            tuple(
                HostEntry(h.name, h.address, h.failure_domain)
                for h in self.hosts.values()
                if h.alive
            ),
            self.now,
        )

    def pause(self, host: FakeHost, duration_s: float) -> None:
        """Pause a process; its events are deferred to the end of the pause."""
        host.paused_until = max(host.paused_until, self.now + duration_s)

    def reachable(self, a: str, b: str) -> bool:
        """Tell whether two hosts can exchange messages."""
        return frozenset((a, b)) not in self.partitions

    def feed(self, host: FakeHost, event: Event) -> None:
        """Run the reducer of a host on an event and execute the effects."""
        if not host.alive:
            return
        if self.now < host.paused_until:
            self.at(host.paused_until, lambda: self.feed(host, event))
            return
        assert host.state is not None
        before = host.state.objects_.generation if host.state.objects_ else 0
        phase = host.state.component(HostLifecycle).phase_
        effects = reduce(host.state, event, self.now)
        after = host.state.objects_.generation if host.state.objects_ else 0
        if after != before:
            self.journal.generations.append(
                GenerationSeen(self.now, host.name, host.incarnation, after)
            )
            self.fire("accept", host)
        if host.state.component(HostLifecycle).phase_ is not phase:
            self.fire(f"phase:{host.state.component(HostLifecycle).phase_}", host)
        if isinstance(event, QueryArrived):
            self.fire("bind", host)
        for observer in self.observers:
            observer(host, event)
        for effect in effects:
            if not host.alive:
                return
            self._execute(host, effect)

    def _tick(self, host: FakeHost) -> None:
        if not host.alive:
            return
        if self.now < host.paused_until:
            self.at(host.paused_until, lambda: self._tick(host))
            return
        self.feed(host, Tick())
        self.after(TICK_INTERVAL_S, lambda: self._tick(host))

    # Effects

    def _execute(self, host: FakeHost, effect: Effect) -> None:
        handler = EFFECTS.get(type(effect))
        if handler is not None:
            handler(self, host, effect)

    def _set_timer(self, host: FakeHost, effect: SetTimer) -> None:
        setting_id = next(self._sequence)
        host.timers[effect.timer_id] = (effect.at_s, setting_id)
        self.at(
            effect.at_s, lambda: self._fire_timer(host, effect.timer_id, setting_id)
        )

    def _fire_timer(self, host: FakeHost, timer_id: str, setting_id: int) -> None:
        if host.timers.get(timer_id, (0.0, -1))[1] != setting_id or not host.alive:
            return
        if self.now < host.paused_until:
            self.at(
                host.paused_until, lambda: self._fire_timer(host, timer_id, setting_id)
            )
            return
        del host.timers[timer_id]
        self.feed(host, TimerFired(timer_id))

    def _clear_timer(self, host: FakeHost, effect: ClearTimer) -> None:
        host.timers.pop(effect.timer_id, None)

    def _send_sub(self, host: FakeHost, effect: SendSub) -> None:
        self.backends.send(host, effect)

    def _cancel_sub(self, host: FakeHost, effect: CancelSub) -> None:
        self.backends.cancel(host, effect.sub_id)

    def _send_answer(self, host: FakeHost, effect: SendAnswer) -> None:
        self.fire("reply", host, effect)
        self._reply(
            host, effect.query_id, Reply(self.now, host.name, answer=effect.answer)
        )

    def _send_refusal(self, host: FakeHost, effect: SendRefusal) -> None:
        if effect.ticket is not None:
            self.fire("issue", host, effect)
        reply = Reply(self.now, host.name, error=effect.error, ticket=effect.ticket)
        self._reply(host, effect.query_id, reply)

    def _reply(self, host: FakeHost, query_id: int, reply: Reply) -> None:
        attempt = host.attempts.get(query_id)
        if attempt is None or not host.alive:
            return
        attempt.replies.append(reply)

    def _set_readiness(self, host: FakeHost, effect: SetReadiness) -> None:
        host.ready = effect.ready

    def _exit(self, host: FakeHost, effect: Exit) -> None:
        self.fire("exit", host)
        self.journal.exited_at[host.name] = self.now
        unanswered = [a for a in host.attempts.values() if not a.replies]
        host.alive = False
        for attempt in unanswered:
            attempt.host_ended = True
        for link_id in list(host.links):
            self._close_link(host, link_id, notify_peer=True)
        self.publish_host_list()

    # Links

    def _open_link(self, host: FakeHost, effect: OpenLink) -> None:
        peer = next(
            (h for h in self.hosts.values() if h.alive and h.address == effect.address),
            None,
        )

        def connect() -> None:
            if peer is None or not peer.alive or not host.alive:
                self.feed(host, LinkClosed(effect.link_id, effect.address, "refused"))
                return
            if not self.reachable(host.name, peer.name):
                self.after(
                    BROKEN_LINK_DETECTION_S,
                    lambda: self.feed(
                        host, LinkClosed(effect.link_id, effect.address, "timeout")
                    ),
                )
                return
            assert peer.state is not None
            other_id = peer.state.next_id()
            host.links[effect.link_id] = (peer.name, other_id)
            peer.links[other_id] = (host.name, effect.link_id)
            self.feed(peer, LinkOpened(other_id, host.address, outgoing=False))
            self.feed(host, LinkOpened(effect.link_id, peer.address, outgoing=True))

        self.after(PEER_LATENCY_S, connect)

    def _send_peer(self, host: FakeHost, effect: SendPeer) -> None:
        self.fire(type(effect.message).__name__, host, effect)
        link = host.links.get(effect.link_id)
        if link is None or not host.alive:
            return
        peer_name, peer_link = link
        peer = self.hosts[peer_name]
        if not self.reachable(host.name, peer_name):
            self.after(
                BROKEN_LINK_DETECTION_S,
                lambda: self._close_link(host, effect.link_id, notify_peer=True),
            )
            return

        def arrive() -> None:
            if peer_link in peer.links:
                self.feed(peer, PeerMessageRead(peer_link, effect.message))

        self.after(PEER_LATENCY_S, arrive)

    def _close_link_effect(self, host: FakeHost, effect: CloseLink) -> None:
        self.after(
            PEER_LATENCY_S,
            lambda: self._close_link(host, effect.link_id, notify_peer=True),
        )

    def _close_link(self, host: FakeHost, link_id: int, notify_peer: bool) -> None:
        link = host.links.pop(link_id, None)
        if link is None:
            return
        peer_name, peer_link = link
        peer = self.hosts[peer_name]
        self.feed(host, LinkClosed(link_id, peer.address, "closed"))
        if notify_peer and peer_link in peer.links:
            peer.links.pop(peer_link)
            self.after(
                PEER_LATENCY_S,
                lambda: self.feed(peer, LinkClosed(peer_link, host.address, "closed")),
            )

    # Platform

    def _read_config(self, host: FakeHost, effect: ReadConfig) -> None:
        self.fire("read", host, effect)
        poll_until = self.now + max(effect.wait_s, CONFIG_LATENCY_S)

        def poll() -> None:
            if not host.alive:
                return
            if self.config.down or host.name in self.hosts_without_config:
                self.feed(host, ConfigReadFailed(effect.key, "no answer"))
                return
            value, version = self.config.read(effect.key)
            if version == effect.version and effect.wait_s and self.now < poll_until:
                self.after(TICK_INTERVAL_S, poll)
                return
            self.feed(host, ConfigRead(effect.key, value, version))

        self.after(CONFIG_LATENCY_S, poll)

    def _read_host_list(self, host: FakeHost, effect: ReadHostList) -> None:
        def answer() -> None:
            self.feed(host, HostListRead(self.host_list.read(self.now)))

        if not self.config.down:
            self.after(CONFIG_LATENCY_S, answer)


EFFECTS: dict[type[Effect], Callable[[World, FakeHost, Any], None]] = {
    SetTimer: World._set_timer,
    ClearTimer: World._clear_timer,
    SendSub: World._send_sub,
    CancelSub: World._cancel_sub,
    SendAnswer: World._send_answer,
    SendRefusal: World._send_refusal,
    SetReadiness: World._set_readiness,
    Exit: World._exit,
    OpenLink: World._open_link,
    CloseLink: World._close_link_effect,
    SendPeer: World._send_peer,
    ReadConfig: World._read_config,
    ReadHostList: World._read_host_list,
}
