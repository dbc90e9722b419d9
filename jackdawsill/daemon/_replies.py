"""Replies to callers, from effects to HTTP status and body."""

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
        """Return the Retry-After header if the error gives a delay."""
        if self.retry_after_ms is None:
            return {}
        return {"Retry-After": str(-(-self.retry_after_ms // 1000))}


def refusal_reply(error: JackdawsillError, ticket: str | None = None) -> Reply:
    """Return the reply for a typed error.

    `ticket` is the new ticket that the caller must send with the request again; it is
    set only with status 428.
    """
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


class PendingReplies:
    """Replies that callers wait for, by query id.

    `on_reply_without_caller` is called with the query id if no caller waits.
    """

    __slots__ = ("_waiting", "on_reply_without_caller")

    def __init__(self, on_reply_without_caller: Callable[[int], None]) -> None:
        self.on_reply_without_caller = on_reply_without_caller
        self._waiting: dict[int, asyncio.Future[Reply]] = {}

    def __len__(self) -> int:
        """Return the number of waiting callers."""
        return len(self._waiting)

    def add(self, query_id: int) -> "asyncio.Future[Reply]":
        """Register a query and return the future of its reply."""
        fut = asyncio.get_running_loop().create_future()
        self._waiting[query_id] = fut
        return fut

    def remove(self, query_id: int) -> None:
        """Remove a caller that disconnected."""
        self._waiting.pop(query_id, None)

    def deliver(self, effect: SendAnswer) -> None:
        """Carry out `SendAnswer`."""
        self.resolve(effect.query_id, Reply(200, msgspec.json.encode(effect.answer)))

    def refuse(self, effect: SendRefusal) -> None:
        """Carry out `SendRefusal`."""
        self.resolve(effect.query_id, refusal_reply(effect.error, effect.ticket))

    def refuse_all(self, error: JackdawsillError) -> None:
        """Refuse all waiting callers."""
        for query_id in list(self._waiting):
            self.resolve(query_id, refusal_reply(error))

    def resolve(self, query_id: int, reply: Reply) -> None:
        """Pass a reply to the caller that waits for it."""
        fut = self._waiting.pop(query_id, None)
        if fut is None or fut.done():
            self.on_reply_without_caller(query_id)
        else:
            fut.set_result(reply)
