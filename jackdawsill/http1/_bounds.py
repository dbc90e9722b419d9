"""Bounds on the bytes that a server may send in response to one request."""

# Bytes of heads, interim responses, chunk framing and trailers in response to one
# request, before any byte of the body.
MAX_OVERHEAD_BYTES = 64 * 1024
# Further overhead for each byte of the body. The smallest chunk has one byte of data
# and five bytes of framing.
OVERHEAD_PER_BODY_BYTE = 8
# Header fields of one response.
MAX_HEADERS = 200
# Statuses that HTTP/1.1 has (RFC 9110, 15). Another one is no response.
STATUS_MIN, STATUS_MAX = 100, 599
# Responses to one request that are not its answer: interim ones (1xx), and late
# responses to earlier requests on the connection.
MAX_EXTRA_RESPONSES = 8


class ResponseTooLarge(ValueError):
    """A server has sent more than a bound allows; its connection must be closed."""


def check_status(status: int) -> None:
    """Raise ValueError if a response has a status that HTTP/1.1 does not have."""
    if not STATUS_MIN <= status <= STATUS_MAX:
        raise ValueError(f"status {status:03}")


class BodyTooLarge(ResponseTooLarge):
    """The body of a response is larger than its bound allows."""


class ResponseMeter:
    """Count what a server sends in response to one request.

    The methods raise ResponseTooLarge when a bound is exceeded. `max_body_bytes` bounds
    the body of each response.
    """

    __slots__ = (
        "max_body_bytes",
        "n_all_body_bytes",
        "n_body_bytes",
        "n_bytes",
        "n_extra_responses",
    )

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.start_request()

    def start_request(self) -> None:
        """Begin to count for the next request on the connection."""
        self.n_bytes = 0  # received, of all kinds
        self.n_all_body_bytes = 0  # of all responses to the request
        self.n_body_bytes = 0  # of the current response
        self.n_extra_responses = 0

    def start_response(self) -> None:
        """Begin to count the body of the next response."""
        self.n_body_bytes = 0

    def add_body(self, n_bytes: int) -> None:
        """Count bytes of the current response's body."""
        self.n_body_bytes += n_bytes
        self.n_all_body_bytes += n_bytes
        if self.n_body_bytes > self.max_body_bytes:
            raise BodyTooLarge("response body exceeds the size limit")

    def add_extra_response(self) -> None:
        """Count a complete response that is not the answer to the request."""
        self.n_extra_responses += 1
        if self.n_extra_responses > MAX_EXTRA_RESPONSES:
            raise ResponseTooLarge("too many responses to one request")

    def check_headers(self, n_headers: int) -> None:
        """Check the number of header fields of a response."""
        if n_headers > MAX_HEADERS:
            raise ResponseTooLarge("too many header fields in a response")

    def add_received(self, n_bytes: int) -> None:
        """Count received bytes after they were parsed, and check the overhead."""
        self.n_bytes += n_bytes
        n_overhead_bytes = self.n_bytes - self.n_all_body_bytes
        n_allowed_bytes = (
            MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * self.n_all_body_bytes
        )
        if n_overhead_bytes > n_allowed_bytes:
            raise ResponseTooLarge("response head or framing exceeds the size limit")
