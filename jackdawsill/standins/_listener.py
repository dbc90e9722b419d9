"""aiohttp server on loopback that the stand-ins share."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from aiohttp import web

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

LOOPBACK = "127.0.0.1"


class ConnectionTrackingServer(web.Server):
    """Low-level aiohttp server that tracks its open connections, oldest first."""

    def __init__(self, handler: Handler) -> None:
        super().__init__(handler, access_log=None)
        self.transports_: dict[object, asyncio.Transport] = {}
        self.served_transports_: set[asyncio.Transport] = (
            set()
        )  # after their first request
        self.n_accepted_ = 0

    def connection_made(self, handler, transport) -> None:
        """Register and count an accepted connection."""
        super().connection_made(handler, transport)
        self.transports_[handler] = transport
        self.n_accepted_ += 1

    def connection_lost(self, handler, exc=None) -> None:
        """Remove a closed connection."""
        super().connection_lost(handler, exc)
        transport = self.transports_.pop(handler, None)
        if transport is not None:
            self.served_transports_.discard(transport)

    def n_older(self, transport: asyncio.Transport) -> int:
        """Return the number of open connections that are older."""
        for index, known in enumerate(self.transports_.values()):
            if known is transport:
                return index
        return len(self.transports_)

    def abort_all(self) -> None:
        """Reset all connections."""
        for transport in list(self.transports_.values()):
            transport.abort()


class Listener:
    """Serve one handler on a loopback port.

    The kernel chooses the port at the first start; restarts use it again.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port_ = 0
        self.server_: ConnectionTrackingServer | None = None
        self._socket_server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return ip:port."""
        return f"{LOOPBACK}:{self.port_}"

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}"

    async def start(self) -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((LOOPBACK, self.port_))
        self.port_ = sock.getsockname()[1]
        self.server_ = ConnectionTrackingServer(self.handler)
        self._socket_server = await loop.create_server(
            self.server_, sock=sock, backlog=1024
        )

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        if self._socket_server is not None:
            self._socket_server.close()
            self._socket_server = None
        if self.server_ is not None:
            self.server_.abort_all()

    async def stop(self) -> None:
        """Stop listening and close all connections; wait 0.1 s for handlers."""
        self.crash()
        if self.server_ is not None:
            await self.server_.shutdown(0.1)
            self.server_ = None
