"""Check the answers of backend servers and classify refusals."""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from jackdawsill.core import FailureKind, LoadReport, SendSub, SubAnswered, SubFailed

MAX_SERVABLE = 64  # names in a decline; more are not useful to any decision

_REFUSALS = {
    "draining": FailureKind.DRAINING,
    "starting": FailureKind.STARTING,
    "connections": FailureKind.CAP,
}


@dataclass(slots=True)
class _Load:
    """Load as sent by a backend server."""

    running: int
    slots: int


@dataclass(slots=True)
class _Payload:
    """Body of a backend server's answer with status 200."""

    request_id: str
    snapshot: str
    shard: str
    items: list[dict[str, Any]]
    load: _Load | None = None


@dataclass(slots=True)
class _Declined:
    """Body of a backend server's answer with status 409."""

    servable: list[str] = field(default_factory=list)


_PAYLOAD = msgspec.json.Decoder(_Payload)
_DECLINED = msgspec.json.Decoder(_Declined)


def check_answer(
    sub: SendSub, wire_id: str, body: bytes, draining: bool
) -> SubAnswered | SubFailed:
    """Return the answer, or a failure if it is not the answer to this sub-request."""
    try:
        payload = _PAYLOAD.decode(body)
    except (msgspec.DecodeError, RecursionError) as exc:
        return SubFailed(sub.sub_id, FailureKind.BAD_ANSWER, detail=str(exc)[:200])
    for name, got, wanted in (
        ("request", payload.request_id, wire_id),
        ("snapshot", payload.snapshot, sub.snapshot),
        ("shard", payload.shard, sub.shard),
    ):
        if got != wanted:
            detail = f"answer is for {name} {got[:80]!r}, not {wanted!r}"
            return SubFailed(sub.sub_id, FailureKind.BAD_ANSWER, detail=detail)
    load = payload.load
    return SubAnswered(
        sub.sub_id,
        sub.request_id,
        payload.snapshot,
        payload.shard,
        payload.items,
        None if load is None else LoadReport(load.running, load.slots),
        draining,
    )


def classify_refusal(
    sub: SendSub, status: int, refusal: str, body: bytes, cancelled: bool
) -> SubFailed:
    """Return the failure for a status other than 200.

    Only the statuses that the backend interface defines as not run are classified so;
    any other answer leaves open whether the sub-request was run.
    """
    sub_id = sub.sub_id
    if status == 409:
        try:
            servable = tuple(_DECLINED.decode(body).servable[:MAX_SERVABLE])
        except (msgspec.DecodeError, RecursionError) as exc:
            return SubFailed(sub_id, FailureKind.BAD_ANSWER, detail=str(exc)[:200])
        return SubFailed(sub_id, FailureKind.DECLINED, servable)
    if status == 429:
        return SubFailed(sub_id, FailureKind.SHED)
    if status == 503 and refusal in _REFUSALS:
        return SubFailed(sub_id, _REFUSALS[refusal])
    if status == 499 and cancelled:
        return SubFailed(sub_id, FailureKind.CANCELLED)
    return SubFailed(sub_id, FailureKind.BAD_ANSWER, detail=f"status {status}")
