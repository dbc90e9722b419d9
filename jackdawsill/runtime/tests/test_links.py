"""Tests of links over loopback."""

import asyncio
import random
import socket
import unittest
from unittest import mock

import msgpack

from jackdawsill.core import (
    HANDLERS,
    CloseLink,
    HostState,
    LinkClosed,
    LinkOpened,
    OpenLink,
    PeerBytesRead,
    PeerMessageRead,
    SendPeer,
)
from jackdawsill.daemon._http_server import listening_socket
from jackdawsill.daemon.tests._fixtures import WAIT_S
from jackdawsill.peers import MAX_MESSAGE_BYTES, MESSAGES, PeerMessage, encode
from jackdawsill.runtime import Driver, LinkSet
from jackdawsill.standins import LOOPBACK


class Note(PeerMessage):
    """Message used by this test only."""

    data: bytes


class TestLinks(unittest.IsolatedAsyncioTestCase):
    """Links between two hosts, and peers that misbehave."""

    async def asyncSetUp(self):
        MESSAGES["test-note"] = Note
        self.addCleanup(MESSAGES.pop, "test-note")
        self.queues: dict[str, asyncio.Queue] = {}

        def record(state, event, now):
            self.queues[state.name].put_nowait(event)
            return []

        event_types = (LinkOpened, LinkClosed, PeerMessageRead, PeerBytesRead)
        patch = mock.patch.dict(
            HANDLERS, {k: [record] for k in event_types}, clear=True
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.a = await self.start_links("a")
        self.b = await self.start_links("b")

    async def start_links(self, name):
        """Start the links of one host."""
        self.queues[name] = asyncio.Queue()
        links = LinkSet(Driver(HostState(name, "bogota", random.Random(1))))
        await links.start(listening_socket(LOOPBACK, 0))
        self.addAsyncCleanup(links.stop)
        return links

    async def next_event(self, name, event_type):
        """Return the next event of a host; it must be of the given class.

        Parts of messages are skipped unless they are asked for.
        """
        event = await asyncio.wait_for(self.queues[name].get(), WAIT_S)
        while isinstance(event, PeerBytesRead) and event_type is not PeerBytesRead:
            event = await asyncio.wait_for(self.queues[name].get(), WAIT_S)
        self.assertIsInstance(event, event_type)
        return event

    async def connect(self):
        """Open a link from a to b; return its id at each end."""
        self.a.open(OpenLink(7, f"{LOOPBACK}:{self.b.port_}"))
        opened = await self.next_event("a", LinkOpened)
        self.assertTrue(opened.outgoing)
        incoming = await self.next_event("b", LinkOpened)
        self.assertFalse(incoming.outgoing)
        return opened.link_id, incoming.link_id

    async def connect_raw(self):
        """Open a TCP connection to b without a `LinkSet`."""
        reader, writer = await asyncio.open_connection(LOOPBACK, self.b.port_)
        self.addCleanup(writer.close)
        await self.next_event("b", LinkOpened)
        return reader, writer

    async def test_messages_both_ways(self):
        """Guards against lost or reordered messages."""
        link_at_a, link_at_b = await self.connect()
        for n in range(20):
            self.a.send(SendPeer(link_at_a, Note(b"%d" % n)))
        self.b.send(SendPeer(link_at_b, Note(b"back")))
        for n in range(20):
            read = await self.next_event("b", PeerMessageRead)
            self.assertEqual(read, PeerMessageRead(link_at_b, Note(b"%d" % n)))
        self.assertEqual(
            (await self.next_event("a", PeerMessageRead)).link_id, link_at_a
        )

    async def test_probes(self):
        """Guards against links of hosts that are gone and closed nothing.

        Such a host would count as a member of the fleet, with its demand for replicas.
        """
        await self.connect()
        for links in (self.a, self.b):
            (link,) = links._links.values()
            sock = link.transport.get_extra_info("socket")
            options = (
                (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            )
            for level, option in options:
                self.assertTrue(sock.getsockopt(level, option))

    async def test_part_of_a_message(self):
        """Guards against a link that counts as silent while a large message arrives."""
        _, writer = await self.connect_raw()
        data = encode(Note(b"x" * 1000))
        for part in (data[:10], data[10:500]):
            writer.write(part)
            await self.next_event("b", PeerBytesRead)
        writer.write(data[500:])
        await self.next_event("b", PeerMessageRead)

    async def test_close_writes_queued_messages(self):
        """Guards against a close that cuts off queued messages.

        A leave message or a handover is sent right before the close.
        """
        link_at_a, _ = await self.connect()
        data = b"x" * (MAX_MESSAGE_BYTES - 100)
        self.a.send(SendPeer(link_at_a, Note(data)))
        self.a.close(CloseLink(link_at_a))
        self.a.send(SendPeer(link_at_a, Note(b"after close")))
        self.assertEqual(
            (await self.next_event("b", PeerMessageRead)).message.data, data
        )
        await self.next_event("b", LinkClosed)
        self.assertEqual((await self.next_event("a", LinkClosed)).link_id, link_at_a)

    async def test_failed_open_is_reported(self):
        """Guards against a component that waits forever for a failed link."""
        with socket.socket() as sock:
            sock.bind((LOOPBACK, 0))
            address = f"{LOOPBACK}:{sock.getsockname()[1]}"
            self.a.open(OpenLink(8, address))
            closed = await self.next_event("a", LinkClosed)
        self.assertEqual((closed.link_id, closed.address), (8, address))
        self.a.open(OpenLink(9, "not an address"))
        self.assertEqual((await self.next_event("a", LinkClosed)).link_id, 9)

    async def test_invalid_messages_close_the_link(self):
        """Guards against invalid bytes that stop the process or reach a component."""
        for data in (
            msgpack.packb({"kind": "test-note", "data": 5}),
            msgpack.packb([1]),
            b"\xc1",
            msgpack.packb({"kind": "test-note", "data": b"x" * 2 * MAX_MESSAGE_BYTES}),
        ):
            reader, writer = await self.connect_raw()
            writer.write(data)
            closed = await self.next_event("b", LinkClosed)
            self.assertIn("JDS-44", closed.detail)
            with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
                await reader.readexactly(1)
        await self.connect()

    async def test_unknown_kind_keeps_the_link(self):
        """Guards against closing links to hosts of a newer version."""
        _, writer = await self.connect_raw()
        writer.write(msgpack.packb({"kind": "later", "x": 1}) + encode(Note(b"y")))
        self.assertEqual(
            (await self.next_event("b", PeerMessageRead)).message, Note(b"y")
        )

    async def test_peer_that_does_not_read_is_disconnected(self):
        """Guards against unbounded memory for a peer that does not read."""
        _, writer = await self.connect_raw()
        writer.transport.pause_reading()
        link_id = next(iter(self.b._links))
        note = Note(b"x" * (MAX_MESSAGE_BYTES - 100))
        for _ in range(64):
            self.b.send(SendPeer(link_id, note))
        closed = await self.next_event("b", LinkClosed)
        self.assertIn("unsent", closed.detail)
