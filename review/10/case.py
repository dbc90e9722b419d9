"""Links between machines go silent; then a request that crashes replicas comes."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from world import TROUBLE, Message, Proxy, Replica, World, main, now, route

SERVICE, HOST, PREFIX = "zipu42c", "hufi27.example", "/goka902/"
DEADLY = "deadly"
N_REPLICAS = 12
PER_S = 22.5
SHARE = 0.03  # of the requests are deadly, as in the news page's example
STABLE_WINDOW_S = 4.0
HEARTBEAT_S = 1.2
DOWN_S = 4.0  # until a crashed replica is back, under another id
SILENT_AT_S, FIRST_DEADLY_S, NEXT_DEADLY_S, LENGTH_S = 4.0, 14.0, 24.0, 54.0


class MortalReplica(Replica):
    """Crashes when it begins to run a deadly request."""

    def __init__(self, world: World, number: int, zone: str) -> None:
        super().__init__(
            world.record, SERVICE, f"i-{number:08x}", zone=zone, work_s=0.03
        )
        self.world = world
        self.number = number

    async def run(self, request: Message, echo: dict[str, str], writer) -> bool:
        """Run a request, or crash."""
        if DEADLY not in request.first:
            return await super().run(request, echo, writer)
        crashes.append((now(), echo["Request-Id"]))
        self.record.write("crash", id=echo["Request-Id"], replica=self.name)
        self.close()
        loop = asyncio.get_running_loop()
        loop.call_later(
            3 * HEARTBEAT_S, self.world.store.remove, f"servers/{self.name}"
        )
        loop.call_later(DOWN_S, self._start_again)
        return False

    def _start_again(self) -> None:
        successor = MortalReplica(self.world, self.number + 100, self.zone)
        tasks.append(asyncio.create_task(self.world.add(successor)))


crashes: list[tuple[float, str]] = []
tasks: list[asyncio.Task] = []


class SilencedWorld(World):
    """The links between the machines pass through proxies."""

    proxies: dict[tuple[str, str], Proxy]

    def seed_addresses(self, node) -> list[str]:
        """Return the own address, and those of proxies to the other seeds."""
        return [
            seed if seed == node.control else self.proxies[node.name, seed].address
            for seed in self.seeds
        ]


async def case(world: World) -> int:
    """Play the case."""
    world.__class__ = SilencedWorld
    world.proxies = {}
    await world.store.start()
    zones = list(world.zones)
    for i in range(N_REPLICAS):
        await world.add(MortalReplica(world, i, zones[i % 3]))
    world.publish([route("r-1", HOST, PREFIX, service=SERVICE)])
    for node in world.nodes:
        for seed in world.seeds:
            if seed != node.control:
                proxy = world.proxies[node.name, seed] = Proxy()
                await proxy.start(seed)
    if not await world.start_nodes():
        world.record.say("the machines did not start")
        return 2
    await asyncio.sleep(2.0)
    clients = [world.client(node) for node in world.nodes]
    rng = random.Random(3)
    started_at, n_sent, calls = now(), 0, []
    n_silenced = None
    n_deadly_due = 0.0
    while (elapsed_s := now() - started_at) < LENGTH_S:
        if n_silenced is None and elapsed_s >= SILENT_AT_S:
            n_silenced = 0
            if TROUBLE:
                n_silenced = sum(p.silence() for p in world.proxies.values())
            world.record.say(f"{n_silenced} connections between machines are silent")
        client = clients[rng.randrange(len(clients))]
        target = f"{PREFIX}{n_sent}"
        if elapsed_s >= FIRST_DEADLY_S:
            n_deadly_due += SHARE
        if n_deadly_due >= 1.0:
            n_deadly_due -= 1.0
            target = f"{PREFIX}{DEADLY}"
            # The clients of the first machine's zone send it first.
            first, *others = clients
            client = first if elapsed_s < NEXT_DEADLY_S else rng.choice(others)
        calls.append(asyncio.create_task(client.call(HOST, target, 4001)))
        n_sent += 1
        await asyncio.sleep(max(0.0, started_at + n_sent / PER_S - now()))
    answers = await asyncio.gather(*calls)
    await asyncio.gather(*tasks)
    n_served = sum(answer.status == 200 for answer in answers)
    world.record.say(f"{n_served} of {len(answers)} requests served")
    world.record.say(f"{len(crashes)} replicas crashed")
    if len(crashes) < 3 or n_served < 0.8 * len(answers):
        return 2
    judged_from = crashes[2][0] + STABLE_WINDOW_S
    sent_at = {answer.id: answer.sent_at for answer in answers}
    retries = {id_ for at, id_ in crashes if sent_at[id_] > judged_from}
    world.record.say(
        f"{len(retries)} retries reached replicas, sent later than {STABLE_WINDOW_S} s "
        "after the third crash"
    )
    if len(retries) > 3:
        world.record.say("BROKEN: more than three retries reached replicas")
        return 1
    world.record.say("held")
    return 0


if __name__ == "__main__":
    main(case, __file__)
