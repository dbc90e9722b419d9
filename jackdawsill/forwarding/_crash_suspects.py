"""Requests that got no answer, and whether their replicas crashed."""

from jackdawsill.core import Effect, EmitEvent
from jackdawsill.forwarding._calls import Attempt
from jackdawsill.forwarding._crashes import Crash
from jackdawsill.forwarding._effects import VerifyReplica
from jackdawsill.forwarding._events import ENDED, CrashConfirmed
from jackdawsill.forwarding._replica import (
    END_CONFIRM_S,
    ENTRY_KEPT_S,
    SILENT_MIN_S,
    SILENT_SLOWNESS,
    LiveReplica,
    LostRequest,
)


def confirm_crashes(
    replica: LiveReplica, source: str, within_s: float, now: float
) -> list[Effect]:
    """Report a crash for each request that a replica lost within a time before."""
    entry = replica.entry
    return [
        EmitEvent(
            CrashConfirmed(
                lost.fingerprint,
                Crash(
                    lost.request_id,
                    entry.name,
                    entry.incarnation,
                    lost.lost_at,
                    lost.sent_at,
                    lost.rtt_s,
                    alive_at=lost.alive_at,
                ),
                source,
            )
        )
        for lost in replica.pop_crash_suspects(within_s, now)
    ]


def suspect_crash(attempt: Attempt, now: float) -> list[Effect]:
    """Keep a request that got no answer, and find out whether its replica crashed.

    It did if its entry is gone; the order of the two does not matter.
    """
    call, replica = attempt.part.call, attempt.replica
    ended_at = replica.ended_at
    lost = LostRequest(
        call.fingerprint,
        call.req.request_id.decode("latin-1"),
        now,
        attempt.sent_at,
        attempt.rtt_s,
        None if ended_at is None else ended_at - ENTRY_KEPT_S,
    )
    replica.on_lost(lost)
    if ended_at is not None:
        return confirm_crashes(replica, ENDED, END_CONFIRM_S, now)
    return [VerifyReplica(replica.entry)]


def may_have_crashed(attempt: Attempt, now: float) -> bool:
    """Tell whether the replica of an aborted attempt may have crashed in silence.

    One whose entry is gone may also be leaving, and about to answer.
    """
    call = attempt.part.call
    if call.is_delegated:
        return False
    if attempt.replica.ended_at is not None and now < call.deadline_at:
        return is_overdue(attempt, now)
    return now - attempt.sent_at >= SILENT_MIN_S


def is_overdue(attempt: Attempt, now: float) -> bool:
    """Tell whether an attempt has taken far longer than the attempts of its route."""
    overdue_s = max(SILENT_MIN_S, SILENT_SLOWNESS * attempt.typical_s)
    return now - attempt.sent_at >= overdue_s
