"""Client that sends sequential GET requests over one kept connection."""

import asyncio

import httptools
import msgspec

from jackdawsill.http1._body import BodyBuffer
from jackdawsill.http1._bounds import BodyTooLarge, ResponseMeter, check_status
from jackdawsill.runtime import enable_tcp_keepalive

# A longer response is rejected, to bound memory. The limit is several times the
# largest page of entries that the platform's store sends.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


class ExchangeFailed(Exception):
    """No complete response: not connected, connection lost, invalid, or too late."""


class ResponseTooLong(ExchangeFailed):
    """The body is too large, or has come only in part within the timeout.

    The same request would fail again.
    """


class KeepAliveResponse(msgspec.Struct, frozen=True):
    """A complete response; the names of its headers are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class _KeepAliveConnection(asyncio.Protocol):
    """One connection of a `KeepAliveClient`."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.response: asyncio.Future | None = None
        self.headers: dict[bytes, bytes] = {}
        self.has_head = False
        self.body = BodyBuffer()
        self.meter = ResponseMeter(MAX_RESPONSE_BYTES)
        self.is_reusable = True

    def connection_made(self, transport) -> None:
        """Let TCP detect a server that fails without closing the connection."""
        self.transport = transport
        enable_tcp_keepalive(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse the response; bytes without a request close the connection."""
        if self.response is None:
            self.is_reusable = False
            self.transport.abort()
            return
        try:
            self.parser.feed_data(data)
            self.meter.add_received(len(data))
        except (httptools.HttpParserError, ValueError) as exc:
            cause = exc.__context__ or exc
            is_too_long = isinstance(cause, BodyTooLarge)
            failure = ResponseTooLong if is_too_long else ExchangeFailed
            self._fail(failure(f"invalid response: {cause}"))

    def on_message_begin(self) -> None:
        """Begin a response; one without a request must not answer a later request."""
        self.headers = {}
        self.has_head = False
        self.body = BodyBuffer()
        self.meter.start_response()
        if self.response is None:
            raise ValueError("a second response to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header, of several with one name the last; drop a trailer."""
        if self.has_head:
            return
        self.headers[name.lower()] = value
        self.meter.check_headers(len(self.headers))

    def on_headers_complete(self) -> None:
        """Raise ValueError for a status that HTTP/1.1 does not have."""
        self.has_head = True
        check_status(self.parser.get_status_code())

    def on_body(self, data: bytes) -> None:
        """Collect the body; raise BodyTooLarge above MAX_RESPONSE_BYTES."""
        self.meter.add_body(len(data))
        self.body += data

    def on_message_complete(self) -> None:
        """Resolve the request in progress, unless the response is an interim one."""
        if self.parser.get_status_code() < 200:
            self.meter.add_extra_response()
            return
        response, self.response = self.response, None
        self.is_reusable = self.parser.should_keep_alive()
        if response is not None and not response.done():
            status = self.parser.get_status_code()
            body, self.body = bytes(self.body), BodyBuffer()
            response.set_result(KeepAliveResponse(status, self.headers, body))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress."""
        self.is_reusable = False
        self._fail(ExchangeFailed("connection lost"))

    def _fail(self, failure: ExchangeFailed) -> None:
        response, self.response = self.response, None
        self.is_reusable = False
        self.body = BodyBuffer()
        self.transport.abort()
        if response is not None and not response.done():
            response.set_exception(failure)


class KeepAliveClient:
    """Send GET requests to one address, host:port, one at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._conn: _KeepAliveConnection | None = None

    async def get(self, target: str, timeout_s: float) -> KeepAliveResponse:
        """Return the response; raise ExchangeFailed without a complete one."""
        try:
            async with asyncio.timeout(timeout_s):
                conn = await self._connection()
                conn.response = asyncio.get_running_loop().create_future()
                conn.meter.start_request()
                head = f"GET {target} HTTP/1.1\r\nHost: {self.address}\r\n\r\n"
                conn.transport.write(head.encode())
                return await conn.response
        except TimeoutError as exc:
            is_part = self._conn is not None and self._conn.meter.n_body_bytes > 0
            self.close()
            if is_part:
                raise ResponseTooLong("a part of a response in the timeout") from exc
            raise ExchangeFailed("no response within the timeout") from exc
        except OSError as exc:
            raise ExchangeFailed(type(exc).__name__) from exc
        except (ExchangeFailed, asyncio.CancelledError):
            self.close()
            raise

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        conn, self._conn = self._conn, None
        if conn is not None and conn.transport is not None:
            conn.response = None
            conn.transport.abort()

    async def _connection(self) -> _KeepAliveConnection:
        if self._conn is not None and self._conn.is_reusable:
            return self._conn
        self.close()
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        _, conn = await loop.create_connection(_KeepAliveConnection, host, int(port))
        self._conn = conn
        return conn
