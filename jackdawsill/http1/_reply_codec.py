"""Encoding of replies."""

from jackdawsill.forwarding import Headers

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def encode_reply(
    status: int,
    headers: Headers,
    body: bytes,
    *,
    keep_alive: bool,
    is_head: bool = False,
) -> bytes:
    """Return the bytes of a reply, with Content-Length where it is allowed.

    The reply to a HEAD request has no body, and states the length only of one that was
    left out here: what a replica would have sent is not known.
    """
    has_no_body = status in (204, 304)
    reason = REASON_PHRASES.get(status, b"Status")
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [name + b": " + value for name, value in headers]
    if not has_no_body and (body or not is_head):
        lines.append(b"Content-Length: %d" % len(body))
    if not keep_alive:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if has_no_body or is_head else head + body
