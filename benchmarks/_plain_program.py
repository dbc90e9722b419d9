"""Baseline fan-out: one attempt at one random replica for each shard.

It neither hedges nor retries, has no limits and refuses nothing.
"""

import asyncio
import json
import os
import random
import sys

import aiohttp
import uvloop
from aiohttp import web

sys.path.append(os.path.dirname(os.path.abspath(__file__)))

from _child import serve_commands

# Longer than any caller's deadline; the timeout only bounds the memory used.
TIMEOUT_S = 5.0


class PlainHost:
    """HTTP server that answers a query with one sub-request for each shard."""

    def __init__(self) -> None:
        self.rng = random.Random(1)
        self.n_sent = 0
        self.n_needed = 0

    async def start(
        self, snapshot: str, shards: list[tuple[str, list[str]]]
    ) -> dict[str, str]:
        """Start to listen on a free port; return the address."""
        self.snapshot, self.shards = snapshot, shards
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        )
        app = web.Application()
        app.router.add_post("/v1/query/{route}", self.query)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0, backlog=1024)
        await site.start()
        port = self.runner.addresses[0][1]
        return {"caller": f"127.0.0.1:{port}"}

    async def query(self, request: web.Request) -> web.Response:
        """Send a sub-request to each shard, wait for all and merge the answers."""
        body = await request.read()
        request_id = request.headers["X-Request-Id"]
        self.n_needed += len(self.shards)
        answers = await asyncio.gather(
            *(self.send_sub(name, urls, body, request_id) for name, urls in self.shards)
        )
        covered, missing, items = [], [], []
        for (name, _), answer in zip(self.shards, answers, strict=True):
            if answer is None:
                missing.append({"shard": name, "reason": "failed"})
            else:
                covered.append(name)
                items += answer["items"]
        return web.json_response(
            {
                "request_id": request_id,
                "route": request.match_info["route"],
                "snapshot": self.snapshot,
                "generation": 1,
                "complete": not missing,
                "covered": covered,
                "missing": missing,
                "items": items,
            }
        )

    async def send_sub(self, shard: str, urls: list[str], body: bytes, request_id: str):
        """Return the answer of one random replica, or None if it fails."""
        self.n_sent += 1
        headers = {
            "X-Request-Id": f"{request_id}.{self.n_sent}",
            "X-Snapshot": self.snapshot,
            "X-Deadline-Ms": "5000",
        }
        url = f"http://{self.rng.choice(urls)}/v1/shard/{shard}"
        try:
            async with self.session.post(url, data=body, headers=headers) as resp:
                if resp.status != 200:
                    return None
                return await resp.json()
        except (aiohttp.ClientError, OSError, TimeoutError, json.JSONDecodeError):
            return None

    async def counts(self) -> dict[str, float]:
        """Return counters under the metric names of the entry hosts."""
        return {
            "sub_requests_sent": self.n_sent,
            "sub_requests_needed": self.n_needed,
        }


async def run() -> None:
    """Serve commands, then stop."""
    host = PlainHost()
    await serve_commands({"start": host.start, "counts": host.counts})


if __name__ == "__main__":
    uvloop.run(run())
