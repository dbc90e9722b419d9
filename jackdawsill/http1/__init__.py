"""HTTP/1.1 connections to callers and replicas on httptools."""

from jackdawsill.http1._client import ReplicaClient
from jackdawsill.http1._dialect import AttemptFault, BaseDialect, end_to_end
from jackdawsill.http1._exchange import Exchange, ExchangeFailed
from jackdawsill.http1._pool import encode_request
from jackdawsill.http1._server import CallServer, OnRequest, RawRequest, encode_reply
from jackdawsill.http1._sockets import keep_alive_probes

__all__ = [
    "AttemptFault",
    "BaseDialect",
    "CallServer",
    "Exchange",
    "ExchangeFailed",
    "OnRequest",
    "RawRequest",
    "ReplicaClient",
    "encode_reply",
    "encode_request",
    "end_to_end",
    "keep_alive_probes",
]
