"""Child program of the load tool: stand-in backend servers."""

import json
import os
import random
import sys
import time
from typing import Any

import uvloop
from aiohttp import web

from jackdawsill.standins import BackendScript, BackendServer

sys.path.append(os.path.dirname(os.path.abspath(__file__)))

from _child import serve_commands

# A straggler takes 10 to 50 times the time of a normal sub-request.
STRAGGLER_FACTORS = (10.0, 50.0)


def numbered_items(shard: str, snapshot: str, body: dict[str, Any]) -> list[dict]:
    """Return one item that identifies its request, shard and snapshot."""
    return [
        {"id": shard, "class": "public", "snapshot": snapshot, "n": body.get("n", -1)}
    ]


class MeasuredServer(BackendServer):
    """Backend server that records what the load tool checks.

    `runs_by_body` counts the runs of each not-repeatable request, by the number in
    its body.
    """

    def __init__(self, script: BackendScript, rng: random.Random) -> None:
        super().__init__(script, rng)
        self.n_shed = 0
        self.n_declined = 0
        self.first_leaving_at: float | None = None
        self.last_arrived_at: float | None = None
        self.runs_by_body: dict[int, int] = {}

    async def _shard(
        self, request: web.BaseRequest, shard: str, body: bytes
    ) -> web.StreamResponse:
        self.last_arrived_at = time.monotonic()
        response = await super()._shard(request, shard, body)
        self.n_shed += response.status == 429
        self.n_declined += response.status == 409
        if "X-Draining" in response.headers and self.first_leaving_at is None:
            self.first_leaving_at = time.monotonic()
        return response

    async def _work(self, request_id: str) -> bool:
        # The base class has just appended this run.
        run = self.runs_[-1]
        if run.shard.startswith("once"):
            n = json.loads(run.body)["n"]
            self.runs_by_body[n] = self.runs_by_body.get(n, 0) + 1
        return await super()._work(request_id)

    def _service_time_s(self) -> float:
        """Draw a service time, with a random factor for stragglers."""
        low, high = STRAGGLER_FACTORS
        self.script.straggler_factor = self.rng.uniform(low, high)
        return super()._service_time_s()


class Backends:
    """Servers by replica name, with the commands that the load tool calls by name."""

    def __init__(self) -> None:
        self.servers: dict[str, MeasuredServer] = {}

    async def start(
        self, replicas: dict[str, dict[str, Any]], seed: int
    ) -> dict[str, int]:
        """Start servers with their scripts; return their ports."""
        rng = random.Random(seed)
        for name, fields in replicas.items():
            script = BackendScript(items=numbered_items, **fields)
            server = MeasuredServer(script, random.Random(rng.getrandbits(32)))
            await server.start()
            self.servers[name] = server
        return {n: s.listener.port_ for n, s in self.servers.items()}

    async def script(self, names: list[str], fields: dict[str, Any]) -> None:
        """Change the scripts of servers."""
        if fields.get("servable") is not None:
            fields["servable"] = frozenset(fields["servable"])
        for name in names:
            if name in self.servers:
                for key, value in fields.items():
                    setattr(self.servers[name].script, key, value)

    async def crash(self, names: list[str]) -> float:
        """Close all connections abruptly and stop listening."""
        for name in names:
            if name in self.servers:
                self.servers[name].crash()
        return time.monotonic()

    async def restart(self, names: list[str]) -> float:
        """Listen again on the same ports."""
        for name in names:
            if name in self.servers:
                await self.servers[name].start()
        return time.monotonic()

    async def totals(self) -> dict[str, Any]:
        """Return sums over all servers."""
        servers = self.servers.values()
        return {
            "arrived": sum(s.n_arrived_ for s in servers),
            "run": sum(s.n_run_ for s in servers),
            "cancelled": sum(s.n_cancelled_ for s in servers),
            "shed": sum(s.n_shed for s in servers),
            "declined": sum(s.n_declined for s in servers),
            "connections": sum(
                s.listener.server_.n_accepted_ for s in servers if s.listener.server_
            ),
            "once": [run for s in servers for run in s.runs_by_body.items()],
        }

    async def runs(self) -> dict[str, int]:
        """Return how many sub-requests each server has run."""
        return {name: server.n_run_ for name, server in self.servers.items()}

    async def replica(self, name: str) -> dict[str, Any] | None:
        """Return the times of a server's first drain header and last sub-request.

        None if the replica is in another process.
        """
        server = self.servers.get(name)
        if server is None:
            return None
        return {
            "first_leaving_at": server.first_leaving_at,
            "last_arrived_at": server.last_arrived_at,
            "run": server.n_run_,
        }


async def run() -> None:
    """Serve commands, then stop."""
    backends = Backends()
    commands = ("start", "script", "crash", "restart", "totals", "runs", "replica")
    await serve_commands({name: getattr(backends, name) for name in commands})


if __name__ == "__main__":
    uvloop.run(run())
