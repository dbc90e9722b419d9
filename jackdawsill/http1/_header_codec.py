"""Interface of the header names that callers and replicas use."""

import msgspec

from jackdawsill.core import FailureKind
from jackdawsill.forwarding import (
    ForwardRequest,
    Headers,
    MergedAnswer,
    ReplicaAnswer,
    SendAttempt,
)

# Headers that concern one connection only and are not forwarded (RFC 9110, 7.6.1),
# with the framing of the body, which each connection does for itself.
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class ResponseFailure(msgspec.Struct, frozen=True):
    """Why a response counts as a failed attempt."""

    kind: FailureKind
    detail: str = ""


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that are not of one connection only."""
    named = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for name in value.split(b",")
    }
    return tuple(
        (key, value)
        for key, value in headers
        if key.lower() not in HOP_HEADERS and key.lower() not in named
    )


class BaseHeaderCodec:
    """Translate between header names on the wire and typed fields."""

    def read_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> ForwardRequest:
        """Return a caller's request; raise ValueError if a header is not valid."""
        raise NotImplementedError

    def attempt_headers(self, send: SendAttempt, left_s: float) -> Headers:
        """Return the headers of an attempt that has `left_s` seconds."""
        raise NotImplementedError

    def is_answer_to(self, request_id: bytes, headers: Headers) -> bool:
        """Tell whether a response belongs to the request."""
        raise NotImplementedError

    def read_answer(
        self, status: int, headers: Headers, body: bytes
    ) -> ReplicaAnswer | ResponseFailure:
        """Return a replica's answer, or why the attempt failed."""
        raise NotImplementedError

    def merged_headers(self, answer: MergedAnswer) -> Headers:
        """Return the headers that tell what a merged answer covers."""
        raise NotImplementedError
