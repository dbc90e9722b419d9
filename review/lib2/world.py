"""Small stand-ins of store, replicas, clients and platform for the cases of a review.

They need only the standard library. All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONFIG_KEY = "op/config"
# Figures of the small deployment `eandinos`.
BOUNDS = {
    "grace_s": 6,
    "retry_budget_ratio": 0.2,
    "retry_slack": 104,
    "retry_window_s": 10,
}
LIMITS = {"memory_mb": 222, "link_mbps": 350.0}
CALLER_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def now() -> float:
    """Return the steady clock."""
    return time.monotonic()


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_at = now()

    def write(self, kind: str, **fields) -> None:
        """Write one line."""
        at = f"{now() - self.started_at:9.3f}"
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{at} {kind} {text}\n")

    def say(self, text: str) -> None:
        """Write one line, also to standard output."""
        self.write("note", text=repr(text))
        print(text, flush=True)

    def close(self) -> None:
        """Write everything."""
        self.file.close()


class Message:
    """A request or response as read."""

    __slots__ = ("body", "first", "headers")

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with Content-Length or in chunks.

    Raise IncompleteReadError, LimitOverrunError or OSError if there is none.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return Message(first, headers, body)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(first, headers, body)


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with its length."""
    lines = [first, *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Base of the stand-ins that listen."""

    def __init__(self) -> None:
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen and return host:port."""
        self.server = await asyncio.start_server(self._serve, host, port, backlog=1024)
        bound = self.server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        return self.address

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while True:
                if not await self.handle(await read_message(reader), writer):
                    break
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            asyncio.CancelledError,
            OSError,
        ):
            pass  # the peer has closed the connection
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request: Message, writer) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: reads, ranges and watches; nothing is lost or slow."""

    PAGE = 500
    PAGE_BYTES = 1_000_000
    HISTORY_S = 20.0

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[tuple[float, dict]] = []
        self.forgotten = 0  # revision up to which the history is gone
        self.changed = asyncio.Event()
        self.calls: list[tuple[float, str, str, int, int]] = []

    def put(self, key: str, value) -> float:
        """Write a key; return the time of the acknowledgement."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("created_rev", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created_rev": created,
            "lease_id": 0,
        }
        self.items[key] = item
        self._publish(item)
        return now()

    def remove(self, key: str) -> float:
        """Remove a key; return the time of the acknowledgement."""
        self.items.pop(key)
        self.revision += 1
        self._publish({"key": key, "revision": self.revision, "compacted": True})
        return now()

    def _publish(self, event: dict) -> None:
        self.events.append((now(), event))
        self._forget()
        self.changed.set()
        self.changed = asyncio.Event()

    def _forget(self) -> None:
        while self.events and self.events[0][0] < now() - self.HISTORY_S:
            self.forgotten = self.events.pop(0)[1]["revision"]

    async def handle(self, request: Message, writer) -> bool:
        """Answer a read, a range or a watch."""
        url = urlsplit(request.first.split()[1])
        query = {
            k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()
        }
        status, body = await self._answer(url.path, query)
        raw = json.dumps(body).encode()
        far = writer.get_extra_info("peername")
        self.calls.append((now(), far[0] if far else "", url.path, status, len(raw)))
        headers = {"Content-Type": "application/json", "Store-Era": "1"}
        await asyncio.sleep(0.004)
        writer.write(encode(f"HTTP/1.1 {status} X", headers, raw))
        await writer.drain()
        return True

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[int, dict]:
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "store_revision": self.revision}
        if path == "/api/kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if path == "/api/kv-watch":
            return await self._watch(query)
        return 404, {}

    def _range(self, prefix: str, after: str) -> dict:
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items, n_bytes = [], 0
        for key in keys:
            n_bytes += len(self.items[key]["value"])
            if items and (len(items) >= self.PAGE or n_bytes > self.PAGE_BYTES):
                break
            items.append(self.items[key])
        return {
            "items": items,
            "truncated": len(items) < len(keys),
            "store_revision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = now() + int(query["wait_ms"]) / 1000
        while True:
            self._forget()
            if after < self.forgotten:
                return 410, {}
            events = [
                event
                for _, event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until - now()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)


class Replica(Server):
    """A sound replica; a case derives from it what it does in trouble."""

    def __init__(
        self,
        record: Record,
        service: str,
        name: str,
        *,
        zone: str,
        slots: int = 3,
        queue: int = 12,
        work_s: float = 0.02,
    ) -> None:
        super().__init__()
        self.record = record
        self.service = service
        self.name = name
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.n_slots = slots
        self.n_room = slots + queue
        self.work_s = work_s
        self.rng = random.Random(name)
        self.n_present = 0
        self.born = int(time.time() * 1000)
        self.runs: list[tuple[float, str, str]] = []  # time, request id, target

    def entry(self, state: str = "ready") -> dict:
        """Return what the replica writes into the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "max_concurrency": self.n_slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1 if state == "ready" else 2,
            "born": self.born,
        }

    async def handle(self, request: Message, writer) -> bool:
        """Run a request, or turn it away."""
        request_id = request.headers.get("request-id", "")
        echo = {"Request-Id": request_id, "Keep-Alive": "timeout=15"}
        if request.headers.get("expected-instance", self.name) != self.name:
            writer.write(encode("HTTP/1.1 421 X", {"Instance-Id": self.name}))
            return True
        if self.n_present >= self.n_room:
            writer.write(encode("HTTP/1.1 503 X", {**echo, "Not-Executed": "1"}))
            return True
        self.n_present += 1
        try:
            async with self.slots:
                self.runs.append((now(), request_id, request.first))
                self.record.write(
                    "run", id=request_id, replica=self.name, service=self.service
                )
                return await self.run(request, echo, writer)
        finally:
            self.n_present -= 1

    async def run(self, request: Message, echo: dict[str, str], writer) -> bool:
        """Work and answer."""
        await asyncio.sleep(self.work_s * self.rng.uniform(0.5, 1.5))
        stamp = f"{self.service}.{self.name}.{echo['Request-Id']}"
        headers = {**echo, "Server-Stamp": stamp}
        writer.write(encode("HTTP/1.1 200 OK", headers, self.body(request)))
        await writer.drain()
        return True

    def body(self, request: Message) -> bytes:
        """Return the body of an answer."""
        return f"{self.service} {request.headers.get('request-id')}".encode()


class Answer:
    """What a client attempt got; status 0 if it got no whole answer."""

    __slots__ = (
        "body",
        "ended_at",
        "headers",
        "id",
        "node",
        "sent_at",
        "status",
        "why",
    )

    def __init__(self, request_id: str, node: str, sent_at: float) -> None:
        self.id = request_id
        self.node = node
        self.sent_at = sent_at
        self.ended_at = sent_at
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.why = ""

    @property
    def took_s(self) -> float:
        """Return how long the client waited."""
        return self.ended_at - self.sent_at


class Client:
    """A client with kept connections to one machine."""

    _serial = 0

    def __init__(self, record: Record, node: str, address: str) -> None:
        self.record = record
        self.node = node
        self.address = address
        self.idle: list[tuple[float, asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def call(
        self,
        host: str,
        target: str,
        deadline_ms: int,
        *,
        method: str = "GET",
        body: bytes = b"",
        patience_s: float = 0.0,
    ) -> Answer:
        """Send a request; wait for its answer until the deadline and `patience_s`."""
        Client._serial += 1
        request_id = f"{Client._serial:08x}{random.getrandbits(32):08x}"
        answer = Answer(request_id, self.node, now())
        self.record.write("sent", id=request_id, node=self.node, target=target)
        try:
            async with asyncio.timeout(deadline_ms / 1000 + patience_s):
                await self._exchange(answer, method, host, target, deadline_ms, body)
        except TimeoutError:
            answer.why = "deadline"
        except (asyncio.IncompleteReadError, OSError) as exc:
            answer.why = type(exc).__name__
        answer.ended_at = now()
        self.record.write(
            "answered",
            id=request_id,
            node=self.node,
            status=answer.status,
            ms=round(answer.took_s * 1000),
            why=answer.why or "-",
        )
        return answer

    async def _exchange(self, answer, method, host, target, deadline_ms, body) -> None:
        reader, writer = await self._connect()
        is_kept = False
        try:
            headers = {
                "Host": host,
                "Request-Id": answer.id,
                "Deadline-Ms": str(deadline_ms),
            }
            first = f"{method} {target} HTTP/1.1"
            if body:
                writer.write(encode(first, headers, body))
            else:
                lines = [first, *(f"{k}: {v}" for k, v in headers.items())]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            message = await read_message(reader)
            answer.status = int(message.first.split()[1])
            answer.headers, answer.body = message.headers, message.body
            is_kept = message.headers.get("connection", "").lower() != "close"
        finally:
            if is_kept:
                self.idle.append((now(), reader, writer))
            else:
                writer.close()

    async def _connect(self):
        while self.idle:
            since, reader, writer = self.idle.pop()
            if not reader.at_eof() and now() - since < 5.0:
                return reader, writer
            writer.close()
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    def close(self) -> None:
        """Close the kept connections."""
        for _, _, writer in self.idle:
            writer.close()


class Node:
    """A machine with one process of the system, as the platform runs it."""

    def __init__(self, world: "World", number: int, zone: str) -> None:
        self.world = world
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.ip = f"127.{world.subnet}.{number}"
        self.ports = free_ports(self.ip, 3)
        self.inner = free_pair(self.ip)
        self.process: subprocess.Popen | None = None
        self.is_bootstrap = True

    @property
    def front(self) -> str:
        """Return the address for clients."""
        return f"{self.ip}:{self.ports[0]}"

    @property
    def ready(self) -> str:
        """Return the address of the readiness check."""
        return f"{self.ip}:{self.ports[1]}"

    @property
    def control(self) -> str:
        """Return the address for other machines."""
        return f"{self.ip}:{self.ports[2]}"

    @property
    def settings(self) -> Path:
        """Return the path of the settings file."""
        return self.world.folder / f"{self.name}.conf"

    def write_settings(self, seeds: list[str]) -> None:
        """Fill in the template of the deploy file."""
        role = next(iter(DEPLOY["roles"].values()))
        values = {
            "node_name": self.name,
            "zone": self.zone,
            "listen_addrs.front": self.front,
            "listen_addrs.ready": self.ready,
            "listen_addrs.control": self.control,
            "port_range.0": self.inner[0],
            "port_range.1": self.inner[1],
            "platform.address": self.world.store_address(self),
            "seeds": ",".join(seeds),
            "bootstrap": str(self.is_bootstrap).lower(),
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
            **{f"limits.{key}": value for key, value in LIMITS.items()},
        }
        text = (ROOT / role["template"]).read_text()
        zones = "".join(f"{z} = {r}\n" for z, r in self.world.zones.items())
        text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", zones, text, flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(values[m[1]]), text)
        self.settings.write_text(text)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        if self.world.is_stopping:
            return
        role = next(iter(DEPLOY["roles"].values()))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["JACKDAWSILL_BOOT"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.world.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.world.record.write("start", node=self.name, pid=self.process.pid)

    @property
    def is_up(self) -> bool:
        """Tell whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.is_up:
            self.process.send_signal(number)
            self.world.record.write("signal", node=self.name, signal=number.name)

    def memory_mb(self) -> float:
        """Return the memory of the process in MB of 10^6 bytes."""
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        pages = int(text.split()[1]) if text else 0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def is_ready(self) -> bool:
        """Ask the readiness check."""
        host, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                message = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return message.first.split()[1] == "200"


class Proxy:
    """Passes connections on to an address; open ones can be silenced for good."""

    def __init__(self) -> None:
        self.address = ""
        self.target = ""
        self.pairs: list[dict] = []
        self.server: asyncio.Server | None = None

    async def start(self, target: str, host: str = "127.0.0.1") -> str:
        """Listen and return host:port."""
        self.target = target
        self.server = await asyncio.start_server(self._serve, host, 0)
        bound = self.server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        return self.address

    async def _serve(self, reader, writer) -> None:
        pair = {"is_silent": False}
        self.pairs.append(pair)
        try:
            host, _, port = self.target.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        ends = (reader, far_writer), (far_reader, writer)
        await asyncio.gather(*(self._pass(*end, pair) for end in ends))

    async def _pass(self, reader, writer, pair: dict) -> None:
        try:
            while data := await reader.read(65536):
                if not pair["is_silent"]:
                    writer.write(data)
                    await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # one end is gone
        if not pair["is_silent"]:
            writer.close()

    def silence(self) -> int:
        """Pass nothing on any more over the open connections; return their number."""
        live = [pair for pair in self.pairs if not pair["is_silent"]]
        for pair in live:
            pair["is_silent"] = True
        return len(live)

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()


def free_ports(ip: str, n: int) -> list[int]:
    """Return ports that are free on an address."""
    socks = [socket.socket() for _ in range(n)]
    try:
        for sock in socks:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


def free_pair(ip: str) -> tuple[int, int]:
    """Return two neighbouring ports that are free on an address."""
    for first in range(20_000 + random.randrange(10_000), 32_000, 2):
        try:
            for port in (first, first + 1):
                with socket.socket() as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        return first, first + 1
    raise OSError("no free ports")


class World:
    """Store, replicas and machines of one case."""

    def __init__(self, folder: Path, n_nodes: int = 3) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.subnet = f"{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.zones = {"bogota-a": "bogota", "medellin-a": "medellin", "cali-a": "cali"}
        self.store = Store()
        self.replicas: list[Replica] = []
        zones = list(self.zones)
        self.nodes = [Node(self, i + 1, zones[i % 3]) for i in range(n_nodes)]
        self.seeds = [node.control for node in self.nodes[:3]]
        self.version = 0
        self.clients: list[Client] = []
        self.is_stopping = False

    def client(self, node: Node) -> Client:
        """Return a new client of a machine."""
        self.clients.append(Client(self.record, node.name, node.front))
        return self.clients[-1]

    def store_address(self, node: Node) -> str:
        """Return the address of the store for a machine; a case may put a proxy."""
        return self.store.address

    def seed_addresses(self, node: Node) -> list[str]:
        """Return the seeds for a machine; a case may put proxies."""
        return self.seeds

    def publish(self, routes: list[dict]) -> float:
        """Write the next configuration; return the time of the acknowledgement."""
        self.version += 1
        names = {r["service"] for r in routes if "service" in r}
        for route in routes:
            names.update(route.get("gather", ()))
            names.update(w["service"] for w in route.get("weighted_backends", ()))
        services = [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 192,
                "protocol": "h1",
                "tls": False,
            }
            for name in sorted(names)
        ]
        config = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": CALLER_LIMITS,
        }
        at = self.store.put(CONFIG_KEY, config)
        self.record.write("config", version=self.version, routes=len(routes))
        return at

    async def add(self, replica: Replica) -> None:
        """Start a replica and register it."""
        await replica.start()
        self.replicas.append(replica)
        self.store.put(f"servers/{replica.name}", replica.entry())

    async def start_nodes(self) -> bool:
        """Start all machines; return whether they are ready within 12 s."""
        for node in self.nodes:
            node.write_settings(self.seed_addresses(node))
            node.start()
            node.is_bootstrap = False
        until = now() + 12.0
        while now() < until:
            if all([await node.is_ready() for node in self.nodes]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self) -> None:
        """End all processes and remove the folder."""
        self.is_stopping = True
        for node in self.nodes:
            if node.is_up:
                node.process.kill()
                node.process.wait()
        for server in (*self.clients, *self.replicas, self.store):
            server.close()
        await asyncio.sleep(0.1)
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def route(name: str, host: str, prefix: str, **fields) -> dict:
    """Return a route of one replica, as `spec-fetch` of the site."""
    base = {
        "name": name,
        "host": host,
        "prefix": prefix,
        "type": "safe",
        "timeout_ms": 4001,
        "objective_ms": 426,
        "priority": 2,
        "max_attempts": 2,
    }
    return base | fields


def main(case, folder: str, n_nodes: int = 3) -> None:
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""

    async def run() -> int:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        world = World(Path(folder).resolve().parent, n_nodes)
        try:
            async with asyncio.timeout(118):
                return await case(world)
        except TimeoutError:
            world.record.say("the case took too long")
            return 2
        finally:
            await world.stop()

    try:
        sys.exit(asyncio.run(run()))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        sys.exit(2)
