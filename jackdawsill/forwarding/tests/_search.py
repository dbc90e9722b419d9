"""State machine that feeds events of forwarded calls and checks all invariants."""

from collections.abc import Iterator

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from jackdawsill.core import NOT_RUN_KINDS, FailureKind, StopRequested, Tick
from jackdawsill.forwarding import (
    PEER,
    AttemptAnswered,
    AttemptFailed,
    CallAbandoned,
    Crash,
    CrashConfirmed,
    LeavingReported,
    LimitReported,
    ReplicaAnswer,
    ReplicaConnected,
    ReplicaRegistry,
    ReplicaSignals,
    ReplicaSpoke,
    ReplicaUnreachable,
    RouteCatalog,
    RouteSet,
    RoutesRead,
    StoreLost,
    StoreRegained,
)
from jackdawsill.forwarding._crashes import fingerprint
from jackdawsill.forwarding.tests._checked_model import (
    DOMAINS,
    SHARD_SETS,
    TARGETS,
    CheckedModel,
    SentAttempt,
    routes_with,
)
from jackdawsill.forwarding.tests._gateway_model import (
    RECORD,
    request,
)

# A live replica registers again within this time once the store is reachable.
REGISTRATION_S = 2.0
# Not integers(): Hypothesis mixes constants of all imported modules into them, so
# the search would depend on which other tests were loaded.
index = st.sampled_from(range(12))
KINDS = [FailureKind.CRASH, FailureKind.SHED, FailureKind.CONNECT] * 2 + list(
    FailureKind
)


class ForwardingMachine(RuleBasedStateMachine):
    """Events of callers, replicas, the store and the clock, in any order."""

    model_type = CheckedModel

    def __init__(self) -> None:
        super().__init__()
        self.host = self.model_type()
        self.n_calls = 0
        self.version = 7
        self.store_reachable_at = float("-inf")  # inf while the store is unreachable
        self.lapsed: dict[str, float] = {}

    def teardown(self) -> None:
        """Let all calls reach their deadlines."""
        if self.host.has_violation:
            return
        self.host.advance(10.0)
        self.host.check_times()
        self.host.check_all_ended()

    def _open(self) -> list[SentAttempt]:
        return [sent for _, sent in self.host.by_attempt.values() if sent.is_open]

    def _end(self, i: int, n: int) -> Iterator[SentAttempt]:
        """End up to `n` attempts, choosing each after the effects of the one before."""
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
            self.host.start_call(self.n_calls, kind, deadline_s)

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
                sent.signature = b""  # a failure must not be merged
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
            # A replica whose entry is still missing by then has left.
            if (
                self.host.now
                >= max(lapsed_at, self.store_reachable_at) + REGISTRATION_S
            ):
                self.host.unusable.add(name)

    @precondition(lambda self: self.n_calls)
    @rule(i=index)
    def leave(self, i):
        """A caller leaves."""
        call_id = 1 + i % self.n_calls
        call = self.host.calls[call_id]
        if not call.n_replies and call.abandoned_at is None:
            call.abandoned_at = self.host.now
            self.host.feed(CallAbandoned(call_id))

    @rule(
        service=st.sampled_from(("docs", "s0", "s1", "t0")),
        domain=st.sampled_from(DOMAINS),
        what=st.sampled_from(("drains", "ends", "restarts", "starts")),
    )
    def replica(self, service, domain, what):
        """A replica drains, ends, restarts or starts."""
        name = f"{service}-{domain}"
        self.host.held.pop(name, None)
        if what == "drains":
            self.host.unusable.add(name)
            self.host.change(written=[name], draining=True)
        elif what == "ends":
            if self.host.now >= self.store_reachable_at + REGISTRATION_S:
                self.host.unusable.add(name)
            elif name not in self.host.unusable:
                self.lapsed.setdefault(name, self.host.now)
            self.host.change(removed=[name])
        else:
            self.host.unusable.discard(name)
            self.lapsed.pop(name, None)
            run = str(self.host.now) if what == "restarts" else ""
            self.host.change(written=[name], incarnation=run)

    @precondition(lambda self: self.host.by_attempt)
    @rule(i=index, leaves=st.booleans(), seconds=st.sampled_from((0.2, 2.0)))
    def says(self, i, leaves, seconds):
        """A replica says in an answer, perhaps a late one, that it leaves or waits."""
        attempts = list(self.host.by_attempt.values())
        effect = attempts[-1 - i % len(attempts)][1].effect
        name, run = effect.replica, effect.incarnation
        hold_s = None if leaves else seconds
        signals = ReplicaSignals(is_leaving=leaves, hold_s=hold_s)
        replicas = self.host.state.component(ReplicaRegistry).replicas_
        is_current = name in replicas and replicas[name].entry.incarnation == run
        self.host.feed(ReplicaSpoke(name, run, "q", 503, signals))
        if is_current and leaves:
            self.host.unusable.add(name)
        elif is_current:
            until = self.host.now + seconds
            self.host.held[name] = max(until, self.host.held.get(name, 0.0))

    @rule(service=st.sampled_from(("docs", "s0")), domain=st.sampled_from(DOMAINS))
    def reports(self, service, domain):
        """A peer reports a replica that leaves."""
        self.host.feed(LeavingReported(f"{service}-{domain}", ""))

    @rule(
        service=st.sampled_from(("docs", "s0")),
        domain=st.sampled_from(DOMAINS),
        limit_per_s=st.sampled_from((None, 0.0, 2.0, 20.0)),
        age_s=st.sampled_from((0.0, 0.2, 3.0)),
    )
    def reports_limit(self, service, domain, limit_per_s, age_s):
        """A peer reports the limit of a replica, or its end."""
        self.host.feed(LimitReported(f"{service}-{domain}", "", limit_per_s, age_s))

    @rule(newer=st.booleans(), which=st.sampled_from((0, 1)))
    def configure(self, newer, which):
        """A configuration is read; it may be older than the accepted one."""
        self.version += 3 if newer else -2
        routes = RouteSet(self.version, routes_with(SHARD_SETS[which]), {})
        before = self.host.state.component(RouteCatalog).version
        self.host.feed(RoutesRead(routes, "store"))
        after = self.host.state.component(RouteCatalog).version
        assert after == max(before, self.version), "an older configuration was accepted"

    @rule(is_lost=st.booleans())
    def store(self, is_lost):
        """The store becomes unreachable, or reachable again."""
        was_lost = self.store_reachable_at == float("inf")
        if is_lost != was_lost:
            self.store_reachable_at = float("inf") if is_lost else self.host.now
        self.host.feed(StoreLost("silent") if is_lost else StoreRegained())

    @rule(kind=st.sampled_from(sorted(TARGETS)), call=index, replica=index)
    def crash(self, kind, call, replica):
        """A peer reports a replica that crashed while it ran a request."""
        key = fingerprint(request(TARGETS[kind] + b"%d" % (call % 3)))
        crash = Crash(f"p{call}", f"x{replica}", "")
        self.host.feed(CrashConfirmed(key, crash, PEER))

    @rule(is_cut_off=st.booleans())
    def cut(self, is_cut_off):
        """The host is cut off from all replicas, or reaches them again."""
        self.host.is_cut_off = is_cut_off
        replicas = sorted(self.host.state.component(ReplicaRegistry).replicas_)
        for name in replicas[:2]:
            outcome = ReplicaUnreachable(name)
            if not is_cut_off:
                outcome = ReplicaConnected(name, 0.001)
            self.host.feed(outcome)

    @rule()
    def stop(self):
        """The host is asked to stop; calls still arrive for a while."""
        self.host.feed(StopRequested())
