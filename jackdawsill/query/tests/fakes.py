"""Simulation of one host with scripted backend servers and a virtual clock."""

import hashlib
import heapq
import itertools
import random
from collections import Counter

from jackdawsill.core import (
    CancelSub,
    ClearTimer,
    Count,
    FailureKind,
    HostState,
    LoadReport,
    Policy,
    QueryArrived,
    SendAnswer,
    SendPeer,
    SendRefusal,
    SendSub,
    SetAccepted,
    SetTimer,
    SubAnswered,
    SubFailed,
    Tick,
    TimerFired,
    reduce,
)
from jackdawsill.membership import Member, MemberTable
from jackdawsill.objects import (
    Caller,
    Department,
    Group,
    ObjectSet,
    Replica,
    Route,
    Service,
    Shard,
    Snapshot,
)
from jackdawsill.quarantine import Quarantine
from jackdawsill.query import QueryTable, attach_query_components
from jackdawsill.stopping import HostLifecycle, HostPhase
from jackdawsill.tickets import TicketManager

DOMAINS = ("d1", "d2", "d3")


def object_set(
    n_services=5, n_shards=10, n_slots=2, versions=(1,), generation=1, **changes
):
    """Return an object set with one group, two callers and three replicas a service."""
    names = [f"svc{i:02}" for i in range(n_services)]
    replicas = [
        Replica(f"{name}-{k}", name, "127.0.0.1", 9000 + k, DOMAINS[k])
        for name in names
        for k in range(3)
    ]
    callers = [
        Caller(
            f"c{i}",
            f"dep{i}",
            hashlib.sha256(f"token{i}".encode()).hexdigest(),
            Policy.LATENCY,
            0.05,
            ("open",),
        )
        for i in (1, 2)
    ]
    by_kind = {
        "departments": [Department("dep1", 1.0), Department("dep2", 3.0)],
        "callers": callers,
        "groups": [Group("g", n_slots, 200, 1.0)],
        "services": [Service(name, "g") for name in names],
        "replicas": replicas,
        "snapshots": [
            Snapshot(
                f"v{version}",
                "g",
                version,
                tuple(
                    Shard(f"s{i:03}", names[i % n_services]) for i in range(n_shards)
                ),
            )
            for version in versions
        ],
        "routes": [
            Route("find", "g", ("dep1", "dep2"), (), True, 340, ("open", "shut")),
            Route("press", "g", ("dep1",), (), False, 340, ("open",)),
        ],
    }
    by_kind.update(changes)
    tables = {kind: {o.name: o for o in objects} for kind, objects in by_kind.items()}
    return ObjectSet(generation, f"digest{generation}", **tables)


class FakeTickets(TicketManager):
    """Ticket manager that only records the requests that it receives."""

    def __init__(self):
        super().__init__(key=b"key")
        self.requests = []

    def on_request(self, state, request, now):
        self.requests.append(request)
        return [Count("ticket")]


class World:
    """Run one host against scripted replicas in virtual time.

    `behave(replica, send)` returns the delay in seconds and the result: None for an
    answer, a `FailureKind`, or an event. With a delay of None the replica never
    answers.
    """

    def __init__(self, objects=None, seed=1, behave=None, quarantine=None):
        self.objects = objects or object_set()
        self.state = HostState("h1", "d1", random.Random(seed))
        self.state.objects_ = self.objects
        self.quarantine = quarantine or Quarantine()
        self.tickets = FakeTickets()
        attach_query_components(self.state, "i1")
        self.members = MemberTable(Member("i1", "h1", "127.0.0.1:1", "d1"))
        self.stopping = HostLifecycle()
        self.stopping.phase_ = HostPhase.SERVING
        for component in (self.members, self.stopping):
            self.state.attach(component)
        self.state.components_[TicketManager] = self.tickets
        self.state.components_[Quarantine] = self.quarantine
        self.behave = behave or (lambda replica, send: (0.01, None))
        self.now = 100.0
        self.queue = []
        self.order = itertools.count()
        self.timers = {}
        self.in_flight = {}
        self.running = Counter()
        self.sent = []
        self.cancelled = []
        self.replies = {}
        self.counts = Counter()
        self.peer_messages = []
        self.query_ids = itertools.count(1)
        self.feed(SetAccepted(self.objects.generation, self.objects.digest))

    @property
    def table(self):
        return self.state.component(QueryTable)

    def at(self, when, event):
        heapq.heappush(self.queue, (when, next(self.order), event))

    def ask(self, body=b"{}", token="token1", route="find", at=None, **fields):
        """Let a query arrive, now or at time `at`; return its id."""
        query_id = next(self.query_ids)
        event = QueryArrived(query_id, f"r{query_id}", route, token, body, **fields)
        if at is None:
            self.feed(event)
        else:
            self.at(at, event)
        return query_id

    def feed(self, event):
        """Pass an event to the reducer and carry out the effects."""
        effects = reduce(self.state, event, self.now)
        for effect in effects:
            self.carry_out(effect)
        return effects

    def carry_out(self, effect):
        if isinstance(effect, SendSub):
            self.sent.append(effect)
            self.in_flight[effect.sub_id] = effect
            self.running[effect.replica] += 1
            delay_s, result = self.behave(effect.replica, effect)
            if delay_s is None:
                return
            if result is None:
                result = self.answer(effect)
            elif isinstance(result, FailureKind):
                result = SubFailed(effect.sub_id, result)
            self.at(self.now + delay_s, result)
        elif isinstance(effect, CancelSub):
            self.cancelled.append(effect.sub_id)
            self.end(effect.sub_id)
        elif isinstance(effect, SetTimer):
            self.timers[effect.timer_id] = effect.at_s
            self.at(effect.at_s, TimerFired(effect.timer_id))
        elif isinstance(effect, ClearTimer):
            self.timers.pop(effect.timer_id, None)
        elif isinstance(effect, (SendAnswer, SendRefusal)):
            self.replies.setdefault(effect.query_id, []).append((self.now, effect))
        elif isinstance(effect, Count):
            self.counts[effect.name] += effect.value
        elif isinstance(effect, SendPeer):
            self.peer_messages.append(effect.message)

    def answer(self, send, **changes):
        fields = {
            "sub_id": send.sub_id,
            "request_id": send.request_id,
            "snapshot": send.snapshot,
            "shard": send.shard,
            "items": [{"class": "open", "id": send.shard}],
            "load": LoadReport(1, 2),
        }
        fields.update(changes)
        return SubAnswered(**fields)

    def end(self, sub_id):
        send = self.in_flight.pop(sub_id, None)
        if send is not None:
            self.running[send.replica] -= 1
        return send

    def crash(self, replica):
        """Report a crash for every sub-request in flight on a replica."""
        for send in [s for s in self.in_flight.values() if s.replica == replica]:
            self.at(self.now + 0.0005, SubFailed(send.sub_id, FailureKind.CRASH))

    def run(self, until=None, ticks=True):
        """Process events until a time, or else until no query and no event is left.

        Timers alone do not keep it running.
        """
        limit = self.now + 60 if until is None else until
        next_tick = self.now + 0.1
        while True:
            idle = not self.queue or (until is None and self.table.is_empty())
            if idle and not any(
                not isinstance(e, TimerFired) for _, _, e in self.queue
            ):
                break
            when = self.queue[0][0] if self.queue else limit
            if when > limit:
                break
            if ticks and next_tick < when:
                self.now = next_tick
                next_tick += 0.1
                self.feed(Tick())
                continue
            when, _, event = heapq.heappop(self.queue)
            self.now = max(self.now, when)
            if isinstance(event, TimerFired):
                if self.timers.get(event.timer_id) != when:
                    continue
                del self.timers[event.timer_id]
            elif isinstance(event, (SubAnswered, SubFailed)):
                if event.sub_id not in self.in_flight:
                    continue
                self.end(event.sub_id)
            self.feed(event)
        return self

    def reply(self, query_id):
        """Return the reply of a query; fail unless there is exactly one."""
        (reply,) = self.replies[query_id]
        return reply[1]

    def answer_of(self, query_id):
        return self.reply(query_id).answer

    def refusal_of(self, query_id):
        return self.reply(query_id).error
