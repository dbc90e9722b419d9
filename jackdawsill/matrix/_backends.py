"""Simulated network between hosts and fake backend servers."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from jackdawsill.core import FailureKind, SendSub, SubAnswered, SubFailed
from jackdawsill.matrix._fakes import FakeBackend
from jackdawsill.matrix._journal import LeavingEvidence, Run, SubSent

if TYPE_CHECKING:
    from jackdawsill.matrix._world import FakeHost, World

BACKEND_LATENCY_S = 0.001
CRASH_RESTART_S = 2.0
N_ITEMS_PER_SHARD = 2


@dataclass(slots=True)
class SubInFlight:
    """A sub-request in flight.

    `has_outcome` is set when its answer or failure is decided; `running` while a
    backend server executes it, also after it was cancelled.
    """

    host: "FakeHost"
    sub: SendSub
    has_outcome: bool = False
    cancelled: bool = False
    running: bool = False


class BackendNetwork:
    """Delivers sub-requests to fake backend servers and outcomes to hosts.

    `sent` holds each body and shard sent so far; sending one again, as a hedge or a
    retry, fires `hedge`. Hooks have one name for queries and another for requests with
    a ticket: connect and spend, wait and run, merge and record.
    """

    def __init__(self, backends: dict[str, FakeBackend]) -> None:
        self.backends = backends
        self.in_flight: dict[tuple[str, int, int], SubInFlight] = {}
        self.sent: set[tuple[bytes, str]] = set()
        self.duplicate_answers = False
        self.foreign_answers = False
        self.world: World | None = None

    def attach(self, world: "World") -> None:
        """Set the world that provides time and hooks; called once by the world."""
        self.world = world

    def send(self, host: "FakeHost", sub: SendSub) -> None:
        """Send a sub-request; it fails with TIMEOUT if it has no earlier outcome."""
        world = self.world
        assert world is not None
        sent_sub = SubInFlight(host, sub)
        self.in_flight[(host.name, host.epoch, sub.sub_id)] = sent_sub
        world.fire("connect" if sub.repeatable else "spend", host, sub)
        key = (sub.body, sub.shard)
        if key in self.sent and sub.repeatable:
            world.fire("hedge", host, sub)
        self.sent.add(key)
        world.after(BACKEND_LATENCY_S, lambda: self._arrive(sent_sub))
        world.after(
            sub.timeout_s, lambda: self._fail(sent_sub, FailureKind.TIMEOUT, 0.0)
        )

    def cancel(self, host: "FakeHost", sub_id: int) -> None:
        """Cancel a sub-request; the backend server may still run it."""
        sent_sub = self.in_flight.get((host.name, host.epoch, sub_id))
        if sent_sub is None or sent_sub.has_outcome:
            return
        sent_sub.cancelled = True
        self._fail(sent_sub, FailureKind.CANCELLED, 2 * BACKEND_LATENCY_S)

    def crash(self, backend: FakeBackend, restart_s: float | None) -> None:
        """Crash a backend server; its running sub-requests fail.

        It restarts after `restart_s`, or never if this is None.
        """
        world = self.world
        assert world is not None
        backend.alive = False
        backend.n_running = 0
        for sent_sub in list(self.in_flight.values()):
            if sent_sub.running and sent_sub.sub.replica == backend.replica.name:
                sent_sub.running = False
                self._fail(sent_sub, FailureKind.CRASH, BACKEND_LATENCY_S)
        if restart_s is not None:
            world.after(restart_s, lambda: self._restart(backend))

    def _restart(self, backend: FakeBackend) -> None:
        backend.alive = True

    def _arrive(self, sent_sub: SubInFlight) -> None:
        world = self.world
        assert world is not None
        sub = sent_sub.sub
        backend = self.backends[sub.replica]
        world.fire("send", sent_sub.host, sub)
        world.journal.subs.append(SubSent(world.now, sent_sub.host.name, sub.replica))
        if backend.is_partitioned or sent_sub.cancelled:
            return
        refusal = backend.refusal(sub.snapshot)
        if refusal is not None:
            servable = tuple(
                s for s in ("archivo-1", "archivo-2") if s not in backend.unservable
            )
            self._fail(sent_sub, refusal, BACKEND_LATENCY_S, servable)
            return
        world.journal.runs.append(
            Run(
                world.now,
                sent_sub.host.name,
                sub.replica,
                sub.shard,
                sub.snapshot,
                sub.body,
                sub.repeatable,
            )
        )
        sent_sub.running = True
        backend.n_running += 1
        if sub.body in backend.poison:
            self.crash(backend, CRASH_RESTART_S)
            return
        world.fire("wait" if sub.repeatable else "run", sent_sub.host, sub)
        queue_s = backend.latency_s * max(0, backend.n_running - backend.n_slots)
        jitter = 1.0 + world.rng.random()
        world.after(
            backend.latency_s * jitter + queue_s,
            lambda: self._finish(sent_sub, backend),
        )

    def _finish(self, sent_sub: SubInFlight, backend: FakeBackend) -> None:
        world = self.world
        assert world is not None
        if not sent_sub.running:
            return
        sent_sub.running = False
        backend.n_running = max(0, backend.n_running - 1)
        if sent_sub.has_outcome and not self.duplicate_answers:
            self._remove(sent_sub)
            return
        if backend.sends_bad_answers:
            self._fail(sent_sub, FailureKind.BAD_ANSWER, BACKEND_LATENCY_S)
            return
        world.after(BACKEND_LATENCY_S, lambda: self._answer(sent_sub, backend))

    def _answer(self, sent_sub: SubInFlight, backend: FakeBackend) -> None:
        world = self.world
        assert world is not None
        if backend.is_partitioned:
            return
        sub = sent_sub.sub
        late = sent_sub.has_outcome
        if late and not self.duplicate_answers:
            return
        self._mark_outcome(sent_sub)
        world.fire("merge" if sub.repeatable else "record", sent_sub.host, sub)
        answer = SubAnswered(
            sub_id=sub.sub_id,
            request_id=sub.request_id,
            snapshot=backend.answers_from or sub.snapshot,
            shard=sub.shard,
            items=self._items(sub, backend.answers_from or sub.snapshot),
            load=backend.load(),
            draining=backend.draining,
        )
        if self.foreign_answers:
            # The host must ignore an answer to another request on the same connection.
            foreign = SubAnswered(
                sub_id=sub.sub_id,
                request_id=sub.request_id + "-other",
                snapshot=sub.snapshot,
                shard=sub.shard,
                items=[
                    {**item, "body": "another caller's"}
                    for item in self._items(sub, sub.snapshot)
                ],
            )
            world.feed(sent_sub.host, foreign)
        if backend.draining:
            self._record_leaving(sent_sub)
        world.feed(sent_sub.host, answer)
        if self.duplicate_answers:
            world.after(0.010, lambda: world.feed(sent_sub.host, answer))

    def _record_leaving(self, sent_sub: SubInFlight) -> None:
        world = self.world
        assert world is not None
        if not sent_sub.host.alive:
            return
        # A paused host receives the answer at the end of its pause.
        at = max(world.now, sent_sub.host.paused_until)
        evidence = LeavingEvidence(at, sent_sub.host.name, sent_sub.sub.replica)
        world.journal.leaving.append(evidence)

    def _items(self, sub: SendSub, snapshot: str) -> list[dict[str, Any]]:
        return [
            {
                "class": "approved-proof" if n else "draft",
                "shard": sub.shard,
                "snapshot": snapshot,
                "body": sub.body.decode(),
                "n": n,
            }
            for n in range(N_ITEMS_PER_SHARD)
        ]

    def _mark_outcome(self, sent_sub: SubInFlight) -> None:
        sent_sub.has_outcome = True
        if not sent_sub.running:
            self._remove(sent_sub)

    def _remove(self, sent_sub: SubInFlight) -> None:
        key = (sent_sub.host.name, sent_sub.host.epoch, sent_sub.sub.sub_id)
        self.in_flight.pop(key, None)

    def _fail(
        self,
        sent_sub: SubInFlight,
        kind: FailureKind,
        delay_s: float,
        servable: tuple[str, ...] = (),
    ) -> None:
        world = self.world
        assert world is not None
        if sent_sub.has_outcome:
            return
        self._mark_outcome(sent_sub)
        event = SubFailed(sent_sub.sub.sub_id, kind, servable, "")

        def report() -> None:
            if kind is FailureKind.DRAINING:
                self._record_leaving(sent_sub)
            world.feed(sent_sub.host, event)

        world.after(delay_s, report)
