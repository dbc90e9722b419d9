"""Validation of backend answers and classification of error responses."""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from jackdawsill.core import FailureKind, LoadReport, SendSub, SubAnswered, SubFailed

# Limit of the servable snapshots read from a 409 response; no decision needs more.
MAX_SERVABLE = 64

_KINDS_BY_X_REFUSAL = {
    "draining": FailureKind.DRAINING,
    "starting": FailureKind.STARTING,
    "connections": FailureKind.CAP,
}


@dataclass(slots=True)
class _Load:
    """Load field of an answer body."""

    running: int
    slots: int


@dataclass(slots=True)
class _AnswerBody:
    """Body of a response with status 200."""

    request_id: str
    snapshot: str
    shard: str
    items: list[dict[str, Any]]
    load: _Load | None = None


@dataclass(slots=True)
class _DeclineBody:
    """Body of a response with status 409."""

    servable: list[str] = field(default_factory=list)


_ANSWER_DECODER = msgspec.json.Decoder(_AnswerBody)
_DECLINE_DECODER = msgspec.json.Decoder(_DeclineBody)


def check_answer(
    sub: SendSub, wire_id: str, body: bytes, draining: bool
) -> SubAnswered | SubFailed:
    """Return the answer, or BAD_ANSWER if the body belongs to another sub-request."""
    try:
        answer = _ANSWER_DECODER.decode(body)
    except (msgspec.DecodeError, RecursionError) as exc:
        return SubFailed(sub.sub_id, FailureKind.BAD_ANSWER, detail=str(exc)[:200])
    for name, actual, expected in (
        ("request", answer.request_id, wire_id),
        ("snapshot", answer.snapshot, sub.snapshot),
        ("shard", answer.shard, sub.shard),
    ):
        if actual != expected:
            detail = f"answer is for {name} {actual[:80]!r}, not {expected!r}"
            return SubFailed(sub.sub_id, FailureKind.BAD_ANSWER, detail=detail)
    load = answer.load
    return SubAnswered(
        sub.sub_id,
        sub.request_id,
        answer.snapshot,
        answer.shard,
        answer.items,
        None if load is None else LoadReport(load.running, load.slots),
        draining,
    )


def classify_error_response(
    sub: SendSub, status: int, x_refusal: str, body: bytes, cancelled: bool
) -> SubFailed:
    """Return the failure for a response with a status other than 200.

    Kinds that mean "not run" are used only for responses that guarantee it by the
    backend interface. After any other response the sub-request may have run.
    """
    sub_id = sub.sub_id
    if status == 409:
        try:
            servable = tuple(_DECLINE_DECODER.decode(body).servable[:MAX_SERVABLE])
        except (msgspec.DecodeError, RecursionError) as exc:
            return SubFailed(sub_id, FailureKind.BAD_ANSWER, detail=str(exc)[:200])
        return SubFailed(sub_id, FailureKind.DECLINED, servable)
    if status == 429:
        return SubFailed(sub_id, FailureKind.SHED)
    if status == 503 and x_refusal in _KINDS_BY_X_REFUSAL:
        return SubFailed(sub_id, _KINDS_BY_X_REFUSAL[x_refusal])
    if status == 499 and cancelled:
        return SubFailed(sub_id, FailureKind.CANCELLED)
    return SubFailed(sub_id, FailureKind.BAD_ANSWER, detail=f"status {status}")
