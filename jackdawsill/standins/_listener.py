"""Listening aiohttp server shared by the stand-ins."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from aiohttp import web

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

LOOPBACK = "127.0.0.1"


class CountingServer(web.Server):
    """Low-level aiohttp server that knows its open connections in order."""

    def __init__(self, handler: Handler) -> None:
        super().__init__(handler, access_log=None)
        self.transports_: dict[object, asyncio.Transport] = {}
        self.greeted_: set[asyncio.Transport] = set()  # past their first request
        self.n_accepted_ = 0

    def connection_made(self, handler, transport) -> None:
        """Count an accepted connection."""
        super().connection_made(handler, transport)
        self.transports_[handler] = transport
        self.n_accepted_ += 1

    def connection_lost(self, handler, exc=None) -> None:
        """Forget a closed connection."""
        super().connection_lost(handler, exc)
        transport = self.transports_.pop(handler, None)
        if transport is not None:
            self.greeted_.discard(transport)

    def position(self, transport: asyncio.Transport) -> int:
        """Return how many older connections are open."""
        for index, known in enumerate(self.transports_.values()):
            if known is transport:
                return index
        return len(self.transports_)

    def abort_all(self) -> None:
        """Close all connections abruptly."""
        for transport in list(self.transports_.values()):
            transport.abort()


class Listener:
    """Serve one handler on a loopback port; the kernel chooses the first port."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port_ = 0
        self.server_: CountingServer | None = None
        self._listening: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return host:port."""
        return f"{LOOPBACK}:{self.port_}"

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}"

    async def start(self) -> None:
        """Listen; a restart uses the same port again."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((LOOPBACK, self.port_))
        self.port_ = sock.getsockname()[1]
        self.server_ = CountingServer(self.handler)
        self._listening = await loop.create_server(
            self.server_, sock=sock, backlog=1024
        )

    def crash(self) -> None:
        """Stop listening and close all connections abruptly."""
        if self._listening is not None:
            self._listening.close()
            self._listening = None
        if self.server_ is not None:
            self.server_.abort_all()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.crash()
        if self.server_ is not None:
            await self.server_.shutdown(0.1)
            self.server_ = None
