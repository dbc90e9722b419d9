"""Fake header codec of the tests of HTTP connections."""

from jackdawsill.forwarding import ReplicaAnswer
from jackdawsill.http1 import BaseHeaderCodec


class FakeHeaderCodec(BaseHeaderCodec):
    """Codec whose responses repeat the request id in the header `Id`."""

    def attempt_headers(self, attempt, remaining_s):
        """Send the id."""
        return ((b"Id", attempt.req.request_id),)

    def is_response_to(self, request_id, headers):
        """Compare the ids."""
        echoed = dict(headers).get(b"Id")
        return None if echoed is None else echoed == request_id

    def read_response(self, status, headers, body):
        """Accept every response."""
        return ReplicaAnswer(status, headers, body, b"signed")
