"""Search of event orders in the life of forwarded calls, with every promise checked."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from jackdawsill.core import NOT_RUN_KINDS, FailureKind, StopRequested, Tick
from jackdawsill.exceptions import Outcome
from jackdawsill.forwarding import (
    AbortAttempt,
    AttemptAnswered,
    AttemptFailed,
    CallAbandoned,
    CallArrived,
    CallTable,
    CrashConfirmed,
    ForwardRoute,
    RefuseCall,
    ReplicaAnswer,
    ReplicaRegistry,
    ReplicasChanged,
    RetryBudget,
    RouteCatalog,
    RouteSet,
    RoutesRead,
    SendAttempt,
    SendMerged,
    StoreLost,
    StoreRegained,
)
from jackdawsill.forwarding._crashes import fingerprint
from jackdawsill.forwarding.tests._host import (
    RECORD,
    GatewayModel,
    entry,
    fanout_route,
    request,
    single_route,
)

DOMAINS = ("near", "far", "farther")
SHARD_SETS = (("s0", "s1", "s2", "s3"), ("t0", "t1", "t2", "t3", "t4"))
TARGETS = {"sweep": b"/sweep/", "fetch": b"/fetch/", "order": b"/order/"}
# Time after the caller has left in which a replica may still work for it.
LEFT_S = 0.5
# Time after the store's return in which a live replica has registered again.
LAPSE_S = 2.0
N_HOSTS = 12
# Not integers(): Hypothesis mixes constants of all imported modules into them, so
# the search would depend on which other tests were loaded.
index = st.sampled_from(range(12))
KINDS = [FailureKind.CRASH, FailureKind.SHED, FailureKind.CONNECT] * 2 + list(
    FailureKind
)


def routes_with(shards: tuple[str, ...]) -> tuple[ForwardRoute, ...]:
    """Return the routes with one of the two sets of shards."""
    return (
        fanout_route(shards=shards),
        single_route(),
        single_route(name="order", prefix=b"/order/", idempotent=False),
    )


def service_of(replica: str) -> str:
    """Return the service in a replica's name."""
    return replica.partition("-")[0]


@dataclass(slots=True)
class Sent:
    """One attempt as the replicas see it; `may_have_run` turns false by its end."""

    effect: SendAttempt
    service: str
    at: float
    is_open: bool = True
    may_have_run: bool = True
    signature: bytes = b""


@dataclass(slots=True)
class Asked:
    """One call as its caller sees it."""

    kind: str
    route: ForwardRoute
    at: float
    must_end_at: float
    sent: list[Sent] = field(default_factory=list)
    n_replies: int = 0
    left_at: float | None = None


class CheckedModel(GatewayModel):
    """A gateway that is checked at each effect; a broken promise fails at once."""

    def __init__(self) -> None:
        self.is_broken = False
        self.asked: dict[int, Asked] = {}
        self.by_attempt: dict[int, tuple[Asked, Sent]] = {}
        self.unusable: set[str] = set()  # replicas that must get nothing new
        self.extras: dict[str, deque[float]] = {}
        super().__init__(*routes_with(SHARD_SETS[0]))
        names = [f"{s}-{d}" for s in SHARD_SETS[1] for d in DOMAINS]
        self.change(written=names)

    def change(self, written=(), removed=(), **fields) -> None:
        """Let the store tell of entries that were written or removed."""
        entries = tuple(
            entry(name, service_of(name), name.partition("-")[2], **fields)
            for name in written
        )
        revision = (self.state.component(ReplicaRegistry).revision_ or 0) + 1
        self.feed(ReplicasChanged(entries, tuple(removed), revision, "store"))

    def feed(self, event) -> list:
        """Reduce an event and check its effects in their order."""
        effects = super().feed(event)
        try:
            self._check(effects)
        except AssertionError:
            self.is_broken = True
            raise
        return effects

    def _check(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, SendAttempt):
                self._on_sent(effect)
            elif isinstance(effect, AbortAttempt):
                self.by_attempt[effect.attempt_id][1].is_open = False
            elif hasattr(effect, "call_id"):
                self._on_reply(effect)

    def ask(self, call_id: int, kind: str, deadline_s: float) -> None:
        """Let a call arrive."""
        catalog = self.state.component(RouteCatalog)
        routes = {route.name: route for route in catalog.routes_.routes}
        route = routes[kind]
        limit_s = min(deadline_s, route.timeout_s)
        self.asked[call_id] = Asked(kind, route, self.now, self.now + limit_s)
        req = request(
            TARGETS[kind] + b"%d" % (call_id % 3),
            b"%d" % call_id,
            deadline_s=deadline_s,
        )
        self.feed(CallArrived(call_id, req))

    def _on_sent(self, effect: SendAttempt) -> None:
        asked = self.asked[int(effect.req.request_id)]
        service = service_of(effect.replica)
        earlier = [s for s in asked.sent if s.service == service]
        allowed = asked.route.shards or ("docs",)
        assert service in allowed, "sent to a service of another version"
        assert not asked.n_replies and asked.left_at is None, "sent after the end"
        assert effect.replica not in self.unusable, "sent to a replica that leaves"
        assert effect.deadline_at <= asked.must_end_at, "sent with too much time"
        if asked.kind == "order":
            assert not any(s.may_have_run for s in asked.sent), "may run twice"
        n_possible = 1 + sum(s.may_have_run for s in earlier)
        assert n_possible <= asked.route.n_attempts_max, "too many replicas"
        if earlier:
            self._spend(service)
        sent = Sent(effect, service, self.now)
        asked.sent.append(sent)
        self.by_attempt[effect.attempt_id] = (asked, sent)

    def _spend(self, service: str) -> None:
        """Check the budget of extra attempts by a window of its own."""
        budget = self.state.component(RetryBudget)
        extras = self.extras.setdefault(service, deque())
        extras.append(self.now)
        while extras[0] < self.now - budget.window_s:
            extras.popleft()
        # The product's window ends up to a tenth of its length later.
        since = self.now - 1.1 * budget.window_s
        n_requests = sum(
            service in (a.route.shards or ("docs",)) and a.at >= since
            for a in self.asked.values()
        )
        bound = budget.ratio * n_requests + budget.slack / N_HOSTS
        assert len(extras) <= bound, "more attempts than the budget"

    def _on_reply(self, effect) -> None:
        asked = self.asked[effect.call_id]
        assert asked.n_replies == 0, "answered twice"
        assert asked.left_at is None, "answered to a caller that left"
        asked.n_replies += 1
        if isinstance(effect, RefuseCall):
            if effect.error.outcome is Outcome.NOT_RUN:
                ran = [s for s in asked.sent if s.may_have_run]
                assert not ran, "refused as not run, but it may have run"
            return
        known = {s.signature: s for s in asked.sent if s.signature}
        if not isinstance(effect, SendMerged):
            assert effect.answer.signature in known, "answer of another call"
            return
        answer = effect.answer
        services = {known[signature].service for signature in answer.signatures}
        assert len(services) == len(answer.signatures), "a part is named twice"
        n_shards = len(asked.route.shards)
        assert len(services) + answer.n_missing == n_shards, "wrong number missing"
        assert len(services) / n_shards >= asked.route.min_coverage, "too few parts"

    def check_times(self) -> None:
        """Check what must have happened by now."""
        for call_id, asked in self.asked.items():
            is_over = asked.n_replies or asked.left_at is not None
            assert is_over or self.now < asked.must_end_at, f"{call_id} not answered"
            if asked.left_at is not None and self.now > asked.left_at + LEFT_S:
                assert not any(s.is_open for s in asked.sent), "works for nobody"

    def check_rest(self) -> None:
        """Check that nothing is left when all calls are over."""
        table = self.state.component(CallTable)
        assert not table.calls_ and not table.attempts_, "left in the tables"
        replicas = self.state.component(ReplicaRegistry).replicas_.values()
        assert all(r.in_flight == 0 for r in replicas), "attempts counted for ever"


class ForwardingLife(RuleBasedStateMachine):
    """Callers, replicas, the store and time, in any order."""

    model_type = CheckedModel

    def __init__(self) -> None:
        super().__init__()
        self.host = self.model_type()
        self.n_calls = 0
        self.version = 7
        self.store_back_at = float("-inf")  # inf while the store is away
        self.lapsed: dict[str, float] = {}

    def teardown(self) -> None:
        """Let all calls reach their deadlines."""
        if self.host.is_broken:
            return
        self.host.advance(10.0)
        self.host.check_times()
        self.host.check_rest()

    def _open(self) -> list[Sent]:
        return [sent for _, sent in self.host.by_attempt.values() if sent.is_open]

    def _end(self, i: int, n: int) -> Iterator[Sent]:
        """End up to `n` attempts, chosen anew after what each end has caused."""
        for _ in range(n):
            open_ = self._open()
            if not open_:
                return
            sent = open_[i % len(open_)]
            sent.is_open = False
            yield sent

    @rule(
        kind=st.sampled_from(sorted(TARGETS)),
        deadline_s=st.sampled_from((0.005, 0.4, 1.2, 3.0)),
        n=st.sampled_from((1, 1, 1, 4)),
    )
    def call(self, kind, deadline_s, n):
        """Calls arrive."""
        for _ in range(n):
            self.n_calls += 1
            self.host.ask(self.n_calls, kind, deadline_s)

    @precondition(lambda self: self._open())
    @rule(
        i=index,
        n=st.sampled_from((1, 3, 8)),
        status=st.sampled_from((200, 200, 200, 404, 500)),
    )
    def answer(self, i, n, status):
        """Some attempts are answered."""
        for sent in self._end(i, n):
            sent.signature = b"signed-%d" % sent.effect.attempt_id
            body = RECORD % sent.effect.attempt_id
            answer = ReplicaAnswer(status, (), body, sent.signature)
            if not 200 <= status < 300 and sent.service != "docs":
                sent.signature = b""  # a failure is no part
            self.host.feed(AttemptAnswered(sent.effect.attempt_id, answer))

    @precondition(lambda self: self._open())
    @rule(i=index, n=st.sampled_from((1, 1, 4)), kind=st.sampled_from(KINDS))
    def fail(self, i, n, kind):
        """Some attempts fail."""
        for sent in self._end(i, n):
            sent.may_have_run = kind not in NOT_RUN_KINDS
            self.host.feed(AttemptFailed(sent.effect.attempt_id, kind))

    @rule(seconds=st.sampled_from((0.001, 0.03, 0.2, 0.6, 2.0)))
    def time_passes(self, seconds):
        """Timers fire, and a tick is sent."""
        self.host.advance(seconds)
        self.host.feed(Tick())
        self.host.check_times()
        for name, lapsed_at in self.lapsed.items():
            # One that is still missing by then has left.
            if self.host.now >= max(lapsed_at, self.store_back_at) + LAPSE_S:
                self.host.unusable.add(name)

    @precondition(lambda self: self.n_calls)
    @rule(i=index)
    def leave(self, i):
        """A caller leaves."""
        call_id = 1 + i % self.n_calls
        asked = self.host.asked[call_id]
        if not asked.n_replies and asked.left_at is None:
            asked.left_at = self.host.now
            self.host.feed(CallAbandoned(call_id))

    @rule(
        service=st.sampled_from(("docs", "s0", "s1", "t0")),
        domain=st.sampled_from(DOMAINS),
        what=st.sampled_from(("drains", "goes", "restarts", "comes")),
    )
    def replica(self, service, domain, what):
        """A replica leaves, ends, or starts."""
        name = f"{service}-{domain}"
        if what == "drains":
            self.host.unusable.add(name)
            self.host.change(written=[name], draining=True)
        elif what == "goes":
            if self.host.now >= self.store_back_at + LAPSE_S:
                self.host.unusable.add(name)
            elif name not in self.host.unusable:
                self.lapsed.setdefault(name, self.host.now)
            self.host.change(removed=[name])
        else:
            self.host.unusable.discard(name)
            self.lapsed.pop(name, None)
            run = str(self.host.now) if what == "restarts" else ""
            self.host.change(written=[name], incarnation=run)

    @rule(newer=st.booleans(), which=st.sampled_from((0, 1)))
    def configure(self, newer, which):
        """A configuration is read, which may be an old one."""
        self.version += 3 if newer else -2
        routes = RouteSet(self.version, routes_with(SHARD_SETS[which]), {})
        before = self.host.state.component(RouteCatalog).version
        self.host.feed(RoutesRead(routes, "store"))
        after = self.host.state.component(RouteCatalog).version
        assert after == max(before, self.version), "the configuration went back"

    @rule(is_lost=st.booleans())
    def store(self, is_lost):
        """The store is lost or comes back."""
        was_lost = self.store_back_at == float("inf")
        if is_lost != was_lost:
            self.store_back_at = float("inf") if is_lost else self.host.now
        self.host.feed(StoreLost("silent") if is_lost else StoreRegained())

    @rule(kind=st.sampled_from(sorted(TARGETS)), call=index, replica=index)
    def crash(self, kind, call, replica):
        """A peer tells of a replica that crashed while it ran a request."""
        key = fingerprint(request(TARGETS[kind] + b"%d" % (call % 3)))
        self.host.feed(CrashConfirmed(key, f"p{call}", f"x{replica}"))

    @rule()
    def stop(self):
        """The host is told to stop; calls go on to arrive for a while."""
        self.host.feed(StopRequested())
