"""A request makes each replica that begins to run it go dark, on a slow route."""

import asyncio
import random
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from world import TROUBLE, Message, Replica, World, main, now, route

SERVICE, HOST, PREFIX = "zipu42c", "hufi27.example", "/goka902/"
DEADLY = "deadly"
TIMEOUT_MS = 4001  # of `spec-fetch`
N_REPLICAS = 18
PER_S = 22.5
EACH_S = 3.0  # between two comings of the deadly request
STABLE_WINDOW_S = 4.0
HEARTBEAT_S = 1.2
DOWN_S = 5.0  # until a dark replica is back, under another id
DEADLY_FROM_S, LENGTH_S = 8.0, 50.0

crashes: list[tuple[float, str]] = []
tasks: list[asyncio.Task] = []


class DarkReplica(Replica):
    """Goes dark when it begins to run a deadly request: no answer, no reset."""

    def __init__(self, world: World, number: int, zone: str) -> None:
        super().__init__(
            world.record, SERVICE, f"i-{number:08x}", zone=zone, work_s=0.03
        )
        self.world = world
        self.number = number
        self.is_dark = False
        self.probes: list[socket.socket] = []
        self.gate: socket.socket | None = None

    async def handle(self, request: Message, writer) -> bool:
        """Answer nothing once it is dark."""
        if self.is_dark:
            await asyncio.sleep(3600)
        return await super().handle(request, writer)

    async def run(self, request: Message, echo: dict[str, str], writer) -> bool:
        """Run a request, or go dark."""
        if not (TROUBLE and DEADLY in request.first):
            return await super().run(request, echo, writer)
        if not self.is_dark:
            crashes.append((now(), echo["Request-Id"]))
            self.record.write("dark", id=echo["Request-Id"], replica=self.name)
            self._go_dark()
        await asyncio.sleep(3600)
        return False

    def _go_dark(self) -> None:
        self.is_dark = True
        host, _, port = self.address.rpartition(":")
        self.server.close()
        # A full queue on the port: connections neither open nor are refused.
        self.gate = socket.socket()
        self.gate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.gate.bind((host, int(port)))
        self.gate.listen(0)
        for _ in range(3):
            probe = socket.socket()
            probe.setblocking(False)
            probe.connect_ex((host, int(port)))
            self.probes.append(probe)
        loop = asyncio.get_running_loop()
        # The last heartbeat was up to one interval before.
        silent_s = 3 * HEARTBEAT_S - random.uniform(0, HEARTBEAT_S)
        loop.call_later(silent_s, self.world.store.remove, f"servers/{self.name}")
        loop.call_later(DOWN_S, self._start_again)

    def _start_again(self) -> None:
        successor = DarkReplica(self.world, self.number + 100, self.zone)
        tasks.append(asyncio.create_task(self.world.add(successor)))

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        super().close()
        for sock in (self.gate, *self.probes):
            if sock is not None:
                sock.close()


async def case(world: World) -> int:
    """Play the case."""
    await world.store.start()
    zones = list(world.zones)
    for i in range(N_REPLICAS):
        await world.add(DarkReplica(world, i, zones[i % 3]))
    fields = {"timeout_ms": TIMEOUT_MS}
    world.publish([route("r-1", HOST, PREFIX, service=SERVICE, **fields)])
    if not await world.start_nodes():
        world.record.say("the machines did not start")
        return 2
    await asyncio.sleep(2.0)
    clients = [world.client(node) for node in world.nodes]
    rng = random.Random(3)
    started_at, n_sent, calls, deadly = now(), 0, [], []
    while (elapsed_s := now() - started_at) < LENGTH_S:
        client = clients[rng.randrange(len(clients))]
        is_due = elapsed_s >= DEADLY_FROM_S + EACH_S * len(deadly)
        target = f"{PREFIX}{DEADLY if is_due else n_sent}"
        call = asyncio.create_task(client.call(HOST, target, 4001))
        calls.append(call)
        if is_due:
            deadly.append(call)
        n_sent += 1
        await asyncio.sleep(max(0.0, started_at + n_sent / PER_S - now()))
    answers = await asyncio.gather(*calls)
    await asyncio.gather(*tasks)
    by_status: dict[int, int] = {}
    for call in deadly:
        status = call.result().status
        by_status[status] = by_status.get(status, 0) + 1
    n_others = len(calls) - len(deadly)
    n_served = sum(answer.status == 200 for answer in answers) - by_status.get(200, 0)
    world.record.say(f"answers to the deadly request: {by_status}")
    world.record.say(f"{n_served} of {n_others} other requests served")
    world.record.say(f"{len(crashes)} replicas went dark")
    if n_served < 0.8 * n_others:
        return 2
    if not TROUBLE:
        world.record.say("held")
        return 0
    if len(crashes) < 3:
        return 2
    judged_from = crashes[2][0] + STABLE_WINDOW_S
    sent_at = {answer.id: answer.sent_at for answer in answers}
    retries = {id_ for at, id_ in crashes if sent_at[id_] > judged_from}
    world.record.say(
        f"{len(retries)} retries reached replicas, sent later than {STABLE_WINDOW_S} s "
        "after the third went dark"
    )
    if len(retries) > 3:
        world.record.say("BROKEN: more than three retries reached replicas")
        return 1
    world.record.say("held")
    return 0


if __name__ == "__main__":
    main(case, __file__)
