"""Stand-in of the platform's store: reads, ranges and watches."""

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from lib.http import encode_reply, read_request

PAGE_SIZE = 50
ANSWER_S = 0.004
ENTRY_PREFIX = "servers/"
CONFIG_KEY = "op/config"


class Store:
    """Key-value store with one revision counter; it answers each call correctly."""

    def __init__(self) -> None:
        self.address = ""
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def put(self, key: str, value: Any) -> None:
        """Write a document; the return is the acknowledgement.

        An entry of which only the count of writes differs does not change.
        """
        if key.startswith(ENTRY_PREFIX) and self._is_same(key, value):
            return
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self.revision,
            "created_rev": self.revision,
            "lease_id": 0,
        }
        self.items[key] = item
        await self._publish(item)

    def _is_same(self, key: str, value: dict[str, Any]) -> bool:
        known = self.items.get(key)
        if known is None:
            return False
        document = json.loads(base64.b64decode(known["value"]))
        return document | {"sequence": 0} == value | {"sequence": 0}

    async def remove(self, key: str) -> None:
        """Remove a document."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        event = {"key": key, "revision": self.revision, "compacted": True}
        await self._publish(event)

    async def _publish(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                await asyncio.sleep(ANSWER_S)
                parts = urlsplit(request.target)
                query = {
                    key: values[0]
                    for key, values in parse_qs(
                        parts.query, keep_blank_values=True
                    ).items()
                }
                status, document = await self._answer(parts.path, query)
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                body = json.dumps(document).encode()
                writer.write(encode_reply(status, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.transport.abort()

    async def _answer(
        self, path: str, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "store_revision": self.revision}
        if path == "/api/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:PAGE_SIZE]],
                "truncated": len(keys) > PAGE_SIZE,
                "store_revision": self.revision,
            }
        return await self._watch(
            query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000
        )

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[int, dict[str, Any]]:
        def matching() -> list[dict[str, Any]]:
            return [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: bool(matching()))
        except TimeoutError:
            # Nothing has changed; the reply has no events.
            pass
        return 200, {"events": matching(), "store_revision": self.revision}
