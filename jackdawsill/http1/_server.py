"""HTTP/1.1 server that reads whole requests and sends replies in their order."""

import asyncio
import time
from collections.abc import Callable

from jackdawsill.forwarding import CallerLimits, Headers
from jackdawsill.http1._caller_connection import CallerConnection, RawRequest

# Interval of the check for expired header and idle timeouts, which are seconds; a
# timeout may be exceeded by this much.
TIMEOUT_CHECK_INTERVAL_S = 0.25
# Length of the accept queue. While it is full, a new connection is delayed by seconds,
# because the client has to send its SYN again.
BACKLOG = 1024
# Default bound on the open connections. Descriptors are needed for replicas as well.
MAX_CONNECTIONS = 800
STATUS_BUSY = 503

# Called with a call id and the request.
OnRequest = Callable[[int, RawRequest], None]
OnCallerDisconnected = Callable[[int], None]


class CallServer:
    """Listen for HTTP clients; each dispatched request gets one reply.

    A call is one dispatched request. The clients are callers, other gateways that
    delegate calls, load balancers or operators. `on_caller_disconnected` gets the id
    of a call whose client closed the connection before the reply, `on_reject` the
    status of a request that is malformed, too large or too slow. Of more than
    `max_connections` one is closed, and reported to `on_overflow`.
    """

    def __init__(
        self,
        on_request: OnRequest,
        on_caller_disconnected: OnCallerDisconnected,
        limits: Callable[[], CallerLimits],
        next_id: Callable[[], int],
        on_reject: Callable[[int], None],
        clock: Callable[[], float] = time.monotonic,
        max_connections: int = MAX_CONNECTIONS,
        on_overflow: Callable[[], None] = lambda: None,
    ) -> None:
        self.max_connections = max_connections
        self.on_overflow = on_overflow
        self.on_request = on_request
        self.on_caller_disconnected = on_caller_disconnected
        self.limits = limits
        self.next_id = next_id
        self.on_reject = on_reject
        self.clock = clock
        self.connections: set[CallerConnection] = set()
        self.connections_by_call_: dict[int, CallerConnection] = {}
        self.closing_ = False
        self._server: asyncio.Server | None = None
        self._check_handle: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen on the address and return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self.make_connection, host, port, backlog=BACKLOG
        )
        self._check_timeouts()
        return self._server.sockets[0].getsockname()[1]

    def make_connection(self) -> CallerConnection:
        """Return the protocol of a connection that opens."""
        return CallerConnection(self)

    def admit(self, conn: CallerConnection) -> None:
        """Register a connection; above the bound close the one that is idle longest.

        Without an idle one, that which receives its request since longest is rejected,
        and if all have requests, the new one is closed.
        """
        self.connections.add(conn)
        if len(self.connections) <= self.max_connections:
            return
        self.on_overflow()
        others = [
            c
            for c in self.connections
            if c is not conn and not c.has_requests and not c.transport.is_closing()
        ]
        chosen = min(others, key=lambda c: (not c.is_idle, c.idle_since), default=conn)
        if chosen.is_idle:
            chosen.transport.close()
        else:
            chosen.reject(STATUS_BUSY)

    def stop_listening(self) -> None:
        """Accept no more connections; the open ones are served on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def stop(self) -> None:
        """Stop listening and close all connections after their pending writes."""
        if self._check_handle is not None:
            self._check_handle.cancel()
        self.stop_listening()
        for conn in list(self.connections):
            conn.transport.close()

    def dispatch(self, conn: CallerConnection, req: RawRequest) -> int:
        """Pass a request to `on_request`; return its call id, 0 if already replied."""
        call_id = self.next_id()
        self.connections_by_call_[call_id] = conn
        conn.active_call_id = call_id
        self.on_request(call_id, req)
        return conn.active_call_id

    def on_disconnected(self, call_id: int) -> None:
        """Drop a call whose caller has disconnected."""
        if self.connections_by_call_.pop(call_id, None) is not None:
            self.on_caller_disconnected(call_id)

    def reply(
        self, call_id: int, status: int, headers: Headers = (), body: bytes = b""
    ) -> None:
        """Reply to a call; do nothing if its caller has disconnected."""
        conn = self.connections_by_call_.pop(call_id, None)
        if conn is not None:
            conn.reply(status, headers, body, close=self.closing_)

    def start_closing(self, *, idle_now: bool) -> None:
        """From now on close each connection after its next reply.

        With `idle_now`, close idle connections at once.
        """
        self.closing_ = True
        if idle_now:
            for conn in list(self.connections):
                conn.close_if_idle()

    def _check_timeouts(self) -> None:
        now = self.clock()
        limits = self.limits()
        for conn in list(self.connections):
            conn.check_timeouts(now, limits)
        loop = asyncio.get_running_loop()
        self._check_handle = loop.call_later(
            TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts
        )
