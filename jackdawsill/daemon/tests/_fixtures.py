"""Settings, scripted servers and test cases shared by the tests of the daemon."""

import asyncio
import random
import unittest

import aiohttp

from jackdawsill.daemon import HostProcess, build_state
from jackdawsill.daemon.tests._fake_query import TOKEN, FakeQueryHandlers, object_set
from jackdawsill.settings import HostSettings, PlatformSettings, Settings
from jackdawsill.standins import LOOPBACK, BackendServer

WAIT_S = 20.0  # timeout of a wait in a test; not reached if the test passes


def settings(name: str = "h1") -> Settings:
    """Return settings that let the kernel choose the ports."""
    host = HostSettings(
        name=name,
        failure_domain="bogota",
        region="andes",
        address=LOOPBACK,
        caller_port=0,
        operator_port=0,
        peer_port=0,
        fleet_key="k" * 32,
    )
    url = f"http://{LOOPBACK}:1"
    platform = PlatformSettings(config_url=url, host_list_url=url)
    return Settings(host=host, platform=platform)


class ScriptedServer:
    """Server that sends scripted bytes; None closes the connection."""

    def __init__(self, *replies: bytes | None) -> None:
        self.replies = list(replies)
        self.n_requests = 0

    async def start(self) -> str:
        """Listen and return host:port."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening."""
        self.server.close()

    async def _serve(self, reader, writer) -> None:
        """Send the next scripted reply to each request."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        await reader.readexactly(int(line.split(b":")[1]))
                self.n_requests += 1
                reply = self.replies.pop(0) if self.replies else None
                if reply is None:
                    return
                writer.write(reply)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class HostCase(unittest.IsolatedAsyncioTestCase):
    """Test case with one host, fake query handlers and backend servers."""

    n_backends = 3

    async def asyncSetUp(self):
        self.backends = [BackendServer() for _ in range(self.n_backends)]
        for backend in self.backends:
            await backend.start()
            self.addAsyncCleanup(backend.stop)
        self.query_handlers = FakeQueryHandlers()
        self.query_handlers.patch.start()
        self.addCleanup(self.query_handlers.patch.stop)
        cfg = settings()
        state = build_state(cfg, random.Random(1))
        state.objects_ = object_set([b.address for b in self.backends])
        self.host = HostProcess(cfg, rng=random.Random(1), state=state)
        await self.host.start()
        self.addAsyncCleanup(self.host.stop)
        self.session = aiohttp.ClientSession(f"http://{self.host.caller_address}")
        self.addAsyncCleanup(self.session.close)

    async def query(self, body=b'{"text": "box"}', path="dielines", **headers):
        """Post a query; return status and decoded body."""
        headers = {k.replace("_", "-"): v for k, v in headers.items()}
        headers.setdefault("Authorization", f"Bearer {TOKEN}")
        async with self.session.post(
            f"/v1/query/{path}", data=body, headers=headers
        ) as resp:
            return resp.status, await resp.json()
