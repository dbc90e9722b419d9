"""Loopback proxy that can be partitioned from its target."""

import asyncio

CHUNK_BYTES = 64 * 1024
CHECK_INTERVAL_S = 0.02


class Proxy:
    """Forward connections to a target; while `is_cut`, bytes wait on both ways.

    Connections that are opened during a cut wait as well.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.is_cut = False
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def _wait_for_path(self) -> None:
        while self.is_cut:
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._wait_for_path()
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            # The target is down; the client gets the end of its connection.
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self._forward(reader, far_writer), self._forward(far_reader, writer)
            )
        finally:
            writer.transport.abort()
            far_writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._wait_for_path()
                writer.write(data)
                await writer.drain()
        except OSError:
            # One side was reset; the other one is closed below.
            pass
        await self._wait_for_path()
        writer.transport.abort()
