"""Replies to callers: from effects to HTTP status and body."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from jackdawsill.core import SendAnswer, SendRefusal
from jackdawsill.exceptions import JackdawsillError


@dataclass(slots=True, frozen=True)
class Reply:
    """Status and JSON body of a reply."""

    status: int
    body: bytes
    retry_after_ms: int | None = None

    def headers(self) -> dict[str, str]:
        """Return the headers that go with the status."""
        if self.retry_after_ms is None:
            return {}
        return {"Retry-After": str(-(-self.retry_after_ms // 1000))}


def refusal(error: JackdawsillError, ticket: str | None = None) -> Reply:
    """Return the reply for a typed error."""
    content: dict[str, Any] = {
        "error": {
            "code": error.code_text,
            "name": type(error).__name__,
            "outcome": str(error.outcome),
            "message": error.message,
            "retry_after_ms": error.retry_after_ms,
        }
    }
    if ticket is not None:
        content["ticket"] = ticket
    return Reply(error.status, msgspec.json.encode(content), error.retry_after_ms)


class Replies:
    """Hold the callers that wait, each by its query id."""

    __slots__ = ("_waiting", "on_unclaimed")

    def __init__(self, on_unclaimed: Callable[[int], None]) -> None:
        self.on_unclaimed = on_unclaimed
        self._waiting: dict[int, asyncio.Future[Reply]] = {}

    def __len__(self) -> int:
        """Return how many callers wait."""
        return len(self._waiting)

    def expect(self, query_id: int) -> "asyncio.Future[Reply]":
        """Return the future of a query's reply."""
        fut = asyncio.get_running_loop().create_future()
        self._waiting[query_id] = fut
        return fut

    def forget(self, query_id: int) -> None:
        """Drop a caller that left."""
        self._waiting.pop(query_id, None)

    def deliver(self, effect: SendAnswer) -> None:
        """Carry out `Deliver`."""
        self.resolve(effect.query_id, Reply(200, msgspec.json.encode(effect.answer)))

    def refuse(self, effect: SendRefusal) -> None:
        """Carry out `Refuse`."""
        self.resolve(effect.query_id, refusal(effect.error, effect.ticket))

    def refuse_all(self, error: JackdawsillError) -> None:
        """Refuse every caller that still waits."""
        for query_id in list(self._waiting):
            self.resolve(query_id, refusal(error))

    def resolve(self, query_id: int, reply: Reply) -> None:
        """Give a reply to the caller that waits for it."""
        fut = self._waiting.pop(query_id, None)
        if fut is None or fut.done():
            self.on_unclaimed(query_id)
        else:
            fut.set_result(reply)
