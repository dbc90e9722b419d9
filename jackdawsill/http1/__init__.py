"""HTTP/1.1 connections to callers, replicas and the platform's store."""

from jackdawsill.http1._caller_connection import RawRequest
from jackdawsill.http1._client import ReplicaClient
from jackdawsill.http1._header_codec import (
    DELEGATION_ATTEMPTS,
    DELEGATION_DECLINED,
    DELEGATION_VERSION,
    BaseHeaderCodec,
    ResponseFailure,
    end_to_end_headers,
    read_number,
)
from jackdawsill.http1._keep_alive_client import (
    ExchangeFailed,
    KeepAliveClient,
    KeepAliveResponse,
    ResponseTooLong,
)
from jackdawsill.http1._pool import encode_request
from jackdawsill.http1._reply_codec import encode_reply
from jackdawsill.http1._server import MAX_CONNECTIONS, CallServer, OnRequest

__all__ = [
    "DELEGATION_ATTEMPTS",
    "DELEGATION_DECLINED",
    "DELEGATION_VERSION",
    "MAX_CONNECTIONS",
    "BaseHeaderCodec",
    "CallServer",
    "ExchangeFailed",
    "KeepAliveClient",
    "KeepAliveResponse",
    "OnRequest",
    "RawRequest",
    "ReplicaClient",
    "ResponseFailure",
    "ResponseTooLong",
    "encode_reply",
    "encode_request",
    "end_to_end_headers",
    "read_number",
]
