"""Phases of a host from start to graceful stop."""

from enum import StrEnum

from jackdawsill.core import (
    Effect,
    Exit,
    HostState,
    LogEvent,
    SetReadiness,
    SetTimer,
    TimerFired,
)
from jackdawsill.membership import MemberTable
from jackdawsill.spread import ConfigSync
from jackdawsill.stopping import _log_events as log_events
from jackdawsill.stopping._registry import HANDOVERS, PENDING_WORK_REPORTS, PendingWork

# The balancer checks each second and needs some failures in a row.
LAMEDUCK_S = 5.0
# Upper bound of draining, should a caller have asked for a longer deadline.
MAX_DRAIN_S = 30.0
# Time past the last deadline for the refusals at the deadline to be written.
DRAIN_MARGIN_S = 0.5
# A handover of 8 MB over one link takes well under a second; the rest is for
# a successor that is busy.
HANDOVER_LIMIT_S = 3.0
LAMEDUCK_TIMER = "stopping:lameduck"
DRAIN_TIMER = "stopping:drain"
HANDOVER_TIMER = "stopping:handover"


class HostPhase(StrEnum):
    """Name the phases of a host in their order."""

    JOINING = "joining"
    SERVING = "serving"
    LAMEDUCK = "lameduck"
    DRAINING = "draining"
    HANDOVER = "handover"
    EXIT = "exit"


class HostLifecycle:
    """Own the phase of the host."""

    __slots__ = ("drain_until_", "phase_", "successor_")

    def __init__(self) -> None:
        self.phase_ = HostPhase.JOINING
        self.drain_until_ = 0.0
        self.successor_: str | None = None

    def accepts_requests(self) -> bool:
        """Tell whether new requests are taken."""
        return self.phase_ in (HostPhase.SERVING, HostPhase.LAMEDUCK)

    def pending_work(self, state: HostState) -> PendingWork:
        """Return the unfinished work of all components."""
        reports = [report(state) for report in PENDING_WORK_REPORTS.values()]
        limits = [
            r.latest_deadline_at
            for r in reports
            if r.n and r.latest_deadline_at is not None
        ]
        return PendingWork(sum(r.n for r in reports), max(limits, default=None))

    def on_tick(self, state: HostState, now: float) -> list[Effect]:
        """Move on when the phase has reached its aim."""
        if self.phase_ is HostPhase.JOINING and self._may_serve(state, now):
            state.ready_ = True
            return [*self._enter(HostPhase.SERVING), SetReadiness(True)]
        if self.phase_ is HostPhase.DRAINING:
            n = self.pending_work(state).n
            if n == 0 or now >= self.drain_until_:
                return self._begin_handover(state, now)
        if self.phase_ is HostPhase.HANDOVER:
            done = self._is_handed_over(state) or self.successor_ is None
            return self._leave(state) if done and not self.pending_work(state).n else []
        if self.phase_ is HostPhase.EXIT:
            # One tick later, so that the messages to peers were written.
            return [Exit()]
        return []

    def on_stop(self, state: HostState, now: float) -> list[Effect]:
        """Fail the health check; keep serving until the balancer has noticed."""
        if self.phase_ is HostPhase.JOINING:
            # No balancer sends here yet, so there is nothing to wait for.
            not_ready = self._not_ready(state, "stopping")
            return [*not_ready, *self._begin_draining(state, now)]
        if self.phase_ is not HostPhase.SERVING:
            fields = {"phase": str(self.phase_)}
            return [LogEvent(log_events.STOP_REPEATED, fields)]
        return [
            *self._not_ready(state, "stopping"),
            *self._enter(HostPhase.LAMEDUCK),
            SetTimer(LAMEDUCK_TIMER, now + LAMEDUCK_S),
        ]

    def on_timer(self, state: HostState, event: TimerFired, now: float) -> list[Effect]:
        """End a phase at its limit."""
        if event.timer_id == LAMEDUCK_TIMER and self.phase_ is HostPhase.LAMEDUCK:
            return self._begin_draining(state, now)
        if event.timer_id == DRAIN_TIMER and self.phase_ is HostPhase.DRAINING:
            return self._begin_handover(state, now)
        if event.timer_id == HANDOVER_TIMER and self.phase_ is HostPhase.HANDOVER:
            effects = self._incomplete(state)
            if self.successor_ is not None and not self._is_handed_over(state):
                effects.append(self._lost("no acknowledgement in time"))
            return [*effects, *self._leave(state)]
        return []

    def _may_serve(self, state: HostState, now: float) -> bool:
        """Tell whether the host holds the newest set that it can learn of."""
        ready = state.component(ConfigSync).ready_to_serve(now)
        return state.objects_ is not None and ready

    def _enter(self, phase: HostPhase) -> list[Effect]:
        """Change the phase and log it."""
        fields = {"before": str(self.phase_), "after": str(phase)}
        self.phase_ = phase
        return [LogEvent(log_events.PHASE_CHANGED, fields)]

    def _not_ready(self, state: HostState, reason: str) -> list[Effect]:
        """Fail the health check."""
        state.ready_ = False
        return [SetReadiness(False, reason)]

    def _begin_draining(self, state: HostState, now: float) -> list[Effect]:
        """Refuse new requests and wait for those in hand."""
        effects = self._enter(HostPhase.DRAINING)
        latest_deadline_at = self.pending_work(state).latest_deadline_at
        if latest_deadline_at is None:
            latest_deadline_at = now + MAX_DRAIN_S
        self.drain_until_ = min(latest_deadline_at + DRAIN_MARGIN_S, now + MAX_DRAIN_S)
        return [*effects, SetTimer(DRAIN_TIMER, self.drain_until_)]

    def _begin_handover(self, state: HostState, now: float) -> list[Effect]:
        """Give what outlives this process to one successor.

        Forwards of other hosts may have begun during draining. Their outcomes are
        still passed on from here, up to the limit of this phase.
        """
        effects = self._enter(HostPhase.HANDOVER)
        self.successor_ = self._choose_successor(state)
        for handover in HANDOVERS.values():
            effects += handover.begin(state, self.successor_, now)
        pending_work = self.pending_work(state)
        if self.successor_ is None and not self._is_handed_over(state):
            effects.append(self._lost("no peer is linked"))
        elif self._is_handed_over(state) and not pending_work.n:
            return [*effects, *self._leave(state)]
        limit_s = now + HANDOVER_LIMIT_S
        if pending_work.latest_deadline_at is not None:
            limit_s = max(limit_s, pending_work.latest_deadline_at + DRAIN_MARGIN_S)
        limit_s = min(limit_s, now + MAX_DRAIN_S)
        return [*effects, SetTimer(HANDOVER_TIMER, limit_s)]

    def _incomplete(self, state: HostState) -> list[Effect]:
        """Return the log event of work that is cut off, if there is any."""
        n = self.pending_work(state).n
        return [LogEvent(log_events.DRAIN_INCOMPLETE, {"n": n})] if n else []

    def _choose_successor(self, state: HostState) -> str | None:
        """Return a linked peer, of another failure domain if there is one."""
        members = state.component(MemberTable)
        own = members.self_member
        linked = [
            member
            for member in members.live_members()
            if member.incarnation != own.incarnation
            and members.link_to(member.incarnation) is not None
        ]
        # Stops often follow one failure domain, so a peer elsewhere stays longer.
        others = [m for m in linked if m.failure_domain != own.failure_domain]
        candidates = sorted(m.incarnation for m in others or linked)
        return state.rng.choice(candidates) if candidates else None

    def _is_handed_over(self, state: HostState) -> bool:
        """Tell whether every component has handed over."""
        return all(handover.is_done(state) for handover in HANDOVERS.values())

    def _lost(self, reason: str) -> LogEvent:
        """Return the log event of a handover that may not have arrived."""
        fields = {"successor": self.successor_ or "nobody", "reason": reason}
        return LogEvent(log_events.HANDOVER_LOST, fields)

    def _leave(self, state: HostState) -> list[Effect]:
        """Tell the peers; the process ends at the next tick."""
        return [*self._enter(HostPhase.EXIT), *state.component(MemberTable).leave()]
