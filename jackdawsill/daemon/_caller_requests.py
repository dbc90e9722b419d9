"""Validation of requests from callers."""

import re
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from jackdawsill.core import Policy, QueryArrived
from jackdawsill.daemon._errors import BadRequest

MAX_TOKEN_CHARS = 512
MAX_TICKET_CHARS = 1024

# Request ids are sent to backend servers in a header and in the cancel path, so only
# characters that need no escaping are allowed.
_REQUEST_ID = re.compile(r"[A-Za-z0-9_.~-]{1,64}")
_ROUTE = re.compile(r"[A-Za-z0-9_.~-]{1,128}")
_JSON_OBJECT_DECODER = msgspec.json.Decoder(dict[str, Any])


def check_request(
    route: str,
    headers: Mapping[str, str],
    body: bytes,
    query_id: int,
    new_request_id: Callable[[], str],
    max_deadline_ms: int,
) -> QueryArrived:
    """Return the event for a request; raise `BadRequest` if it is not valid."""
    if not _ROUTE.fullmatch(route):
        raise BadRequest("the route must be 1 to 128 of the characters A-Za-z0-9_.~-")
    request_id = headers.get("x-request-id")
    if request_id is None:
        request_id = new_request_id()
    elif not _REQUEST_ID.fullmatch(request_id):
        raise BadRequest("X-Request-Id must be 1 to 64 of the characters A-Za-z0-9_.~-")
    ticket = headers.get("x-ticket")
    if ticket is not None and len(ticket) > MAX_TICKET_CHARS:
        raise BadRequest(f"X-Ticket is over {MAX_TICKET_CHARS} characters")
    try:
        _JSON_OBJECT_DECODER.decode(body)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise BadRequest(f"the body is not a JSON object: {exc}") from None
    return QueryArrived(
        query_id=query_id,
        request_id=request_id,
        route=route,
        token=_bearer_token(headers.get("authorization", "")),
        body=body,
        deadline_s=_deadline_s(headers.get("x-deadline-ms"), max_deadline_ms),
        policy=_policy(headers.get("x-policy")),
        ticket=ticket,
    )


def _bearer_token(authorization: str) -> str:
    """Return the bearer token, or "" without one; no caller has an empty token."""
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() != "bearer":
        return ""
    token = token.strip()
    if len(token) > MAX_TOKEN_CHARS:
        raise BadRequest(f"the bearer token is over {MAX_TOKEN_CHARS} characters")
    return token


def _deadline_s(text: str | None, max_ms: int) -> float | None:
    """Return the deadline in seconds, None without the header."""
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= 9):
        raise BadRequest("X-Deadline-Ms must be a whole number of milliseconds")
    ms = int(text)
    if not 1 <= ms <= max_ms:
        raise BadRequest(f"X-Deadline-Ms must be 1 to {max_ms}")
    return ms / 1000.0


def _policy(text: str | None) -> Policy | None:
    """Return the requested policy, None without the header."""
    if text is None:
        return None
    try:
        return Policy(text)
    except ValueError:
        raise BadRequest("X-Policy must be latency or coverage") from None
