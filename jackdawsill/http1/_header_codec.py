"""Interface between HTTP headers and typed requests and answers."""

import msgspec

from jackdawsill.core import FailureKind
from jackdawsill.forwarding import (
    NO_SIGNALS,
    ForwardRequest,
    Headers,
    MergedAnswer,
    ReplicaAnswer,
    ReplicaSignals,
    SendAttempt,
)

# Set by a host that has not run a call that another one delegated to it.
DELEGATION_DECLINED = b"delegation-declined"
# In a delegated call, the version of the configuration by which it must be handled. In
# the reply of a host that has not run it, that host's version.
DELEGATION_VERSION = b"delegation-version"
# In a delegated call, the attempts that may have run before.
DELEGATION_ATTEMPTS = b"delegation-attempts"
# Headers that are not forwarded: those of one connection only (RFC 9110, 7.6.1) and
# those for the framing of the body, which each connection sets for itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        DELEGATION_ATTEMPTS,
        DELEGATION_DECLINED,
        DELEGATION_VERSION,
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


# Headers for all recipients, which Connection cannot name (RFC 9110, 7.6.1).
END_TO_END_HEADERS = frozenset(
    {b"cache-control", b"content-encoding", b"content-type", b"host", b"retry-after"}
)


class ResponseFailure(msgspec.Struct, frozen=True):
    """Why a response counts as a failed attempt."""

    kind: FailureKind
    detail: str = ""
    limit_per_s: float | None = None  # rate that the replica takes from all hosts
    delegate_version: int = 0  # of the configuration of a delegate that declined


def end_to_end_headers(
    headers: Headers, kept: frozenset[bytes] = frozenset()
) -> Headers:
    """Return the headers without hop-by-hop ones and those that Connection names.

    It cannot name END_TO_END_HEADERS and those in `kept`.
    """
    connection_options = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for name in value.split(b",")
    }
    connection_options -= END_TO_END_HEADERS | kept
    return tuple(
        (key, value)
        for key, value in headers
        if key.lower() not in HOP_BY_HOP_HEADERS
        and key.lower() not in connection_options
    )


def read_number(headers: Headers, wanted_name: bytes) -> int | None:
    """Return the number in a header of a delegated call, None without a valid one."""
    for name, value in headers:
        if name.lower() == wanted_name:
            return int(value) if value.isdigit() else None
    return None


class BaseHeaderCodec:
    """Translate a platform's HTTP headers to typed fields and back.

    `end_to_end` are the names, in lower case, of the platform's own headers, which a
    Connection header cannot take away.
    """

    end_to_end: frozenset[bytes] = frozenset()

    def read_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> ForwardRequest:
        """Return a caller's request; raise ValueError if a header is invalid."""
        raise NotImplementedError

    def attempt_headers(self, attempt: SendAttempt, remaining_s: float) -> Headers:
        """Return the headers of an attempt with `remaining_s` until its deadline."""
        raise NotImplementedError

    def is_response_to(self, request_id: bytes, headers: Headers) -> bool | None:
        """Return whether a response belongs to the request; None if it has no id."""
        raise NotImplementedError

    def read_signals(self, status: int, headers: Headers) -> ReplicaSignals:
        """Return what a replica says of itself; platforms without signals say none."""
        return NO_SIGNALS

    def read_response(
        self, status: int, headers: Headers, body: bytes
    ) -> ReplicaAnswer | ResponseFailure:
        """Return the replica's answer in a response, or why the attempt failed."""
        raise NotImplementedError

    def merged_answer_headers(self, answer: MergedAnswer) -> Headers:
        """Return the headers that state which parts a merged answer contains."""
        raise NotImplementedError
