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

# Duration of the lameduck phase, in which the health check fails but the host still
# serves. The load balancer checks every second and stops sending requests after several
# consecutive failures.
LAMEDUCK_S = 5.0
# Longest duration of the draining phase and, separately, of the handover phase, for
# example if a caller has asked for a longer deadline.
MAX_DRAIN_S = 30.0
# Time after the latest deadline to write the refusals sent at the deadline.
DRAIN_MARGIN_S = 0.5
# Time for the successor to acknowledge. A handover of 8 MB over one link takes well
# under a second; the rest allows for a busy successor.
HANDOVER_TIMEOUT_S = 3.0
LAMEDUCK_TIMER = "stopping:lameduck"
DRAIN_TIMER = "stopping:drain"
HANDOVER_TIMER = "stopping:handover"


class HostPhase(StrEnum):
    """Phases of a host, in their order."""

    JOINING = "joining"
    SERVING = "serving"
    LAMEDUCK = "lameduck"
    DRAINING = "draining"
    HANDOVER = "handover"
    EXIT = "exit"


class HostLifecycle:
    """Hold the phase of the host and move it from joining to exit."""

    __slots__ = ("drain_deadline_at_", "phase_", "successor_")

    def __init__(self) -> None:
        self.phase_ = HostPhase.JOINING
        self.drain_deadline_at_ = 0.0
        self.successor_: str | None = None

    def accepts_requests(self) -> bool:
        """Return whether new requests are admitted."""
        return self.phase_ in (HostPhase.SERVING, HostPhase.LAMEDUCK)

    def pending_work(self, state: HostState) -> PendingWork:
        """Return the pending work of all components, with the latest deadline."""
        pending = [report(state) for report in PENDING_WORK_REPORTS.values()]
        deadlines = [
            r.latest_deadline_at
            for r in pending
            if r.n_pending and r.latest_deadline_at is not None
        ]
        return PendingWork(
            sum(r.n_pending for r in pending), max(deadlines, default=None)
        )

    def on_tick(self, state: HostState, now: float) -> list[Effect]:
        """Enter the next phase when the current one is finished."""
        if self.phase_ is HostPhase.JOINING and self._ready_to_serve(state, now):
            state.ready_ = True
            return [*self._set_phase(HostPhase.SERVING), SetReadiness(True)]
        if self.phase_ is HostPhase.DRAINING:
            n = self.pending_work(state).n_pending
            if n == 0 or now >= self.drain_deadline_at_:
                return self._begin_handover(state, now)
        if self.phase_ is HostPhase.HANDOVER:
            done = self._is_handed_over(state) or self.successor_ is None
            return (
                self._exit(state)
                if done and not self.pending_work(state).n_pending
                else []
            )
        if self.phase_ is HostPhase.EXIT:
            # One tick later, so that the messages to peers are written first.
            return [Exit()]
        return []

    def on_stop(self, state: HostState, now: float) -> list[Effect]:
        """Start the stop: fail the health check and serve for another `LAMEDUCK_S`.

        A joining host starts to drain at once.
        """
        if self.phase_ is HostPhase.JOINING:
            # The load balancer does not use this host yet, so lameduck is not needed.
            not_ready = self._fail_health_check(state, "stopping")
            return [*not_ready, *self._begin_draining(state, now)]
        if self.phase_ is not HostPhase.SERVING:
            fields = {"phase": str(self.phase_)}
            return [LogEvent(log_events.STOP_REPEATED, fields)]
        return [
            *self._fail_health_check(state, "stopping"),
            *self._set_phase(HostPhase.LAMEDUCK),
            SetTimer(LAMEDUCK_TIMER, now + LAMEDUCK_S),
        ]

    def on_timer(self, state: HostState, event: TimerFired, now: float) -> list[Effect]:
        """End a phase at its time limit."""
        if event.timer_id == LAMEDUCK_TIMER and self.phase_ is HostPhase.LAMEDUCK:
            return self._begin_draining(state, now)
        if event.timer_id == DRAIN_TIMER and self.phase_ is HostPhase.DRAINING:
            return self._begin_handover(state, now)
        if event.timer_id == HANDOVER_TIMER and self.phase_ is HostPhase.HANDOVER:
            effects = self._drain_incomplete_events(state)
            if self.successor_ is not None and not self._is_handed_over(state):
                effects.append(self._handover_lost_event("no acknowledgement in time"))
            return [*effects, *self._exit(state)]
        return []

    def _ready_to_serve(self, state: HostState, now: float) -> bool:
        """Return whether the host has an object set that is new enough to serve."""
        ready = state.component(ConfigSync).ready_to_serve(now)
        return state.objects_ is not None and ready

    def _set_phase(self, phase: HostPhase) -> list[Effect]:
        """Change the phase and log it."""
        fields = {"before": str(self.phase_), "after": str(phase)}
        self.phase_ = phase
        return [LogEvent(log_events.PHASE_CHANGED, fields)]

    def _fail_health_check(self, state: HostState, reason: str) -> list[Effect]:
        """Mark the host not ready and return the effect for the health check."""
        state.ready_ = False
        return [SetReadiness(False, reason)]

    def _begin_draining(self, state: HostState, now: float) -> list[Effect]:
        """Refuse new requests and wait for pending work."""
        effects = self._set_phase(HostPhase.DRAINING)
        latest_deadline_at = self.pending_work(state).latest_deadline_at
        if latest_deadline_at is None:
            latest_deadline_at = now + MAX_DRAIN_S
        self.drain_deadline_at_ = min(
            latest_deadline_at + DRAIN_MARGIN_S, now + MAX_DRAIN_S
        )
        return [*effects, SetTimer(DRAIN_TIMER, self.drain_deadline_at_)]

    def _begin_handover(self, state: HostState, now: float) -> list[Effect]:
        """Hand over the state that must survive this process to one successor.

        Requests that other hosts forwarded during draining may still run. Their
        outcomes are reported until the time limit of this phase. The phase ends
        earlier when the handover is complete, or there is no successor, and no work
        is pending.
        """
        effects = self._set_phase(HostPhase.HANDOVER)
        self.successor_ = self._choose_successor(state)
        for handover in HANDOVERS.values():
            effects += handover.begin(state, self.successor_, now)
        pending_work = self.pending_work(state)
        if self.successor_ is None and not self._is_handed_over(state):
            effects.append(self._handover_lost_event("no peer is linked"))
        elif self._is_handed_over(state) and not pending_work.n_pending:
            return [*effects, *self._exit(state)]
        limit_at = now + HANDOVER_TIMEOUT_S
        if pending_work.latest_deadline_at is not None:
            limit_at = max(limit_at, pending_work.latest_deadline_at + DRAIN_MARGIN_S)
        limit_at = min(limit_at, now + MAX_DRAIN_S)
        return [*effects, SetTimer(HANDOVER_TIMER, limit_at)]

    def _drain_incomplete_events(self, state: HostState) -> list[Effect]:
        """Return the log event of pending work that is dropped, if any."""
        n = self.pending_work(state).n_pending
        return [LogEvent(log_events.DRAIN_INCOMPLETE, {"n": n})] if n else []

    def _choose_successor(self, state: HostState) -> str | None:
        """Return the incarnation of a random linked peer, or None.

        Peers in other failure domains are preferred.
        """
        members = state.component(MemberTable)
        own = members.self_member
        linked = [
            member
            for member in members.live_members()
            if member.incarnation != own.incarnation
            and members.link_to(member.incarnation) is not None
        ]
        # Planned stops often proceed by failure domain, so peers in other domains are
        # less likely to stop soon.
        others = [m for m in linked if m.failure_domain != own.failure_domain]
        candidates = sorted(m.incarnation for m in others or linked)
        return state.rng.choice(candidates) if candidates else None

    def _is_handed_over(self, state: HostState) -> bool:
        """Return whether every component has completed its handover."""
        return all(handover.is_done(state) for handover in HANDOVERS.values())

    def _handover_lost_event(self, reason: str) -> LogEvent:
        """Return the log event of a handover without acknowledgement."""
        fields = {"successor": self.successor_ or "nobody", "reason": reason}
        return LogEvent(log_events.HANDOVER_LOST, fields)

    def _exit(self, state: HostState) -> list[Effect]:
        """Announce the exit to the peers; the process ends at the next tick."""
        return [*self._set_phase(HostPhase.EXIT), *state.component(MemberTable).leave()]
