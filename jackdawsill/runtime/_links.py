"""Links: TCP connections that carry messages to and from peers."""

import asyncio
import socket
from typing import Any

from jackdawsill.core import (
    CloseLink,
    LinkClosed,
    LinkOpened,
    OpenLink,
    PeerBytesRead,
    PeerMessageRead,
    SendPeer,
)
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.peers import MAX_MESSAGE_BYTES, Decoder, PeerMessage, encode
from jackdawsill.runtime._addresses import join_address, split_address
from jackdawsill.runtime._driver import Driver
from jackdawsill.runtime._log_events import BAD_PEER_MESSAGE
from jackdawsill.runtime._sockets import enable_tcp_keepalive

# Timeout of opening a link, far above a round trip between regions. A host that is
# down may not answer at all.
CONNECT_TIMEOUT_S = 2.0
# A link with more unsent bytes is closed, which bounds memory for a slow reader.
MAX_UNSENT_BYTES = 2 * MAX_MESSAGE_BYTES
CLOSE_TIMEOUT_S = 1.0
BACKLOG = 1024


class _Link(asyncio.Protocol):
    """One link; the reducer chooses the `link_id` of outgoing links.

    `detail` is the reason for the close, reported in `LinkClosed`.
    """

    __slots__ = ("address", "decoder", "detail", "link_id", "link_set", "transport")

    def __init__(
        self, link_set: "LinkSet", link_id: int | None = None, address: str = ""
    ) -> None:
        self.link_set = link_set
        self.link_id = link_id
        self.address = address
        self.decoder = Decoder()
        self.detail = ""
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the open link; assign an id to an incoming one."""
        self.transport = transport
        enable_tcp_keepalive(transport.get_extra_info("socket"))
        outgoing = self.link_id is not None
        if self.link_id is None:
            self.link_id = self.link_set.driver.state.next_id()
            peer = transport.get_extra_info("peername")
            self.address = join_address(peer[0], peer[1]) if peer else ""
        self.link_set.on_link_opened(self, outgoing)

    def data_received(self, data: bytes) -> None:
        """Feed the complete messages; an invalid one closes the link."""
        link_set = self.link_set
        assert self.link_id is not None
        is_complete = False
        try:
            for message in self.decoder.feed(data):
                if self.transport.is_closing():
                    return
                is_complete = True
                link_set.driver.feed(PeerMessageRead(self.link_id, message))
            if not is_complete:
                link_set.driver.feed(PeerBytesRead(self.link_id))
        except JackdawsillError as exc:
            self.abort(str(exc))

    def eof_received(self) -> bool:
        """Close the link when the peer has closed its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the closed link."""
        if exc is not None and not self.detail:
            self.detail = repr(exc)[:200]
        self.link_set.on_link_closed(self)

    def abort(self, detail: str) -> None:
        """Log invalid messages or too many unsent bytes, and abort the link."""
        self.detail = detail[:200]
        self.link_set.driver.log(
            BAD_PEER_MESSAGE,
            link_id=self.link_id,
            address=self.address,
            detail=self.detail,
        )
        self.transport.abort()


class LinkSet:
    """Carry out `OpenLink`, `CloseLink` and `SendPeer`, and listen for peers.

    Each `OpenLink` and each incoming link ends in exactly one `LinkClosed`.
    """

    def __init__(self, driver: Driver) -> None:
        self.driver = driver
        self.port_ = 0
        self.n_bytes_sent_ = 0
        self._links: dict[int, _Link] = {}
        self._opening: dict[int, asyncio.Task] = {}
        self._server: asyncio.Server | None = None
        self._last_encoded: tuple[PeerMessage | None, bytes] = (None, b"")
        self._all_closed: asyncio.Event | None = None

    def __len__(self) -> int:
        """Return the number of open links."""
        return len(self._links)

    @property
    def n_unsent_bytes(self) -> int:
        """Return the number of bytes that wait in the buffers of all links."""
        return sum(
            link.transport.get_write_buffer_size() for link in self._links.values()
        )

    async def start(self, sock: socket.socket) -> None:
        """Listen for peers on a bound socket."""
        self.port_ = sock.getsockname()[1]
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Link(self), sock=sock, backlog=BACKLOG
        )

    async def stop(self) -> None:
        """Stop listening; write the queued messages and close all links.

        Links that are not closed after CLOSE_TIMEOUT_S are aborted.
        """
        if self._server is not None:
            self._server.close()
        opening = list(self._opening.values())
        for task in opening:
            task.cancel()
        await asyncio.gather(*opening, return_exceptions=True)
        if self._links:
            self._all_closed = asyncio.Event()
            for link in self._links.values():
                link.transport.close()
            try:
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await self._all_closed.wait()
            except TimeoutError:
                for link in list(self._links.values()):
                    link.transport.abort()

    def abort(self) -> None:
        """Stop listening and close all links at once; queued messages are lost."""
        if self._server is not None:
            self._server.close()
        for task in self._opening.values():
            task.cancel()
        for link in list(self._links.values()):
            link.transport.abort()

    def open(self, effect: OpenLink) -> None:
        """Start to open a link; `LinkOpened` or `LinkClosed` follows."""
        task = asyncio.get_running_loop().create_task(self._open(effect))
        self._opening[effect.link_id] = task

    def close(self, effect: CloseLink) -> None:
        """Close a link after its queued messages are written."""
        link = self._links.get(effect.link_id)
        if link is not None:
            link.transport.close()
        elif effect.link_id in self._opening:
            self._opening[effect.link_id].cancel()

    def send(self, effect: SendPeer) -> None:
        """Write a message, or drop it if the link is closed."""
        link = self._links.get(effect.link_id)
        if link is None or link.transport.is_closing():
            return
        last_message, data = self._last_encoded
        if last_message is not effect.message:
            # A broadcast sends one message to many links; encode it once.
            data = encode(effect.message)
            self._last_encoded = (effect.message, data)
        link.transport.write(data)
        self.n_bytes_sent_ += len(data)
        if link.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            link.abort(f"more than {MAX_UNSENT_BYTES} bytes unsent")

    def on_link_opened(self, link: _Link, outgoing: bool) -> None:
        """Register an open link and feed `LinkOpened`."""
        assert link.link_id is not None
        self._links[link.link_id] = link
        self.driver.feed(LinkOpened(link.link_id, link.address, outgoing))

    def on_link_closed(self, link: _Link) -> None:
        """Remove a closed link and feed `LinkClosed`."""
        assert link.link_id is not None
        if self._links.pop(link.link_id, None) is not None:
            self.driver.feed(LinkClosed(link.link_id, link.address, link.detail))
        if not self._links and self._all_closed is not None:
            self._all_closed.set()

    async def _open(self, effect: OpenLink) -> None:
        """Connect to a peer; feed `LinkClosed` if that fails."""
        link_id, address = effect.link_id, effect.address
        loop = asyncio.get_running_loop()
        # Used if the task is cancelled.
        detail = "closed before it was opened"
        opened = False
        try:
            host, port = split_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: _Link(self, link_id, address), host, port
                )
            opened = True
        except (OSError, ValueError, TimeoutError, OverflowError) as exc:
            detail = repr(exc)[:200]
        finally:
            self._opening.pop(link_id, None)
            if not opened and link_id not in self._links:
                self.driver.feed(LinkClosed(link_id, address, detail))
