"""A few requests are answered with bodies in small chunks that do not end."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from world import LIMITS, TROUBLE, Replica, World, main, now, route

SERVICE, HOST, PREFIX = "zipu42c", "hufi27.example", "/goka902/"
DEADLINE_MS = 4001
PER_S = 22.5  # of `spec-fetch`
SHARE = 0.02  # of the requests, as `x` of `garble`
LENGTH_S = 75.0
TROUBLE_FROM_S, TROUBLE_UNTIL_S = 8.0, 68.0
ENDLESS = "endless"
RESTART_S = 0.5
# Two bytes of data in each chunk.
BLOCK = b"2\r\nab\r\n" * 8192


class EndlessReplica(Replica):
    """Sends bytes without end in answer to some requests, until the caller closes."""

    async def run(self, request, echo, writer) -> bool:
        """Answer; the bytes after the head of an endless answer never complete it."""
        if not (TROUBLE and ENDLESS in request.first):
            return await super().run(request, echo, writer)
        await asyncio.sleep(self.work_s)
        stamp = f"{self.service}.{self.name}.{echo['Request-Id']}"
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        head += f"Request-Id: {echo['Request-Id']}\r\nServer-Stamp: {stamp}\r\n\r\n"
        writer.write(head.encode())
        n_bytes = 0
        try:
            while True:
                writer.write(BLOCK)
                await writer.drain()
                n_bytes += len(BLOCK)
        finally:
            self.record.write(
                "endless", id=echo["Request-Id"], replica=self.name, bytes=n_bytes
            )


async def watch_memory(world: World, kills: dict, peaks: dict) -> None:
    """Kill a process over its memory, and start it again, as the platform does."""
    while True:
        for node in world.nodes:
            if not node.is_up:
                continue
            memory_mb = node.memory_mb()
            peaks[node.name] = max(peaks[node.name], memory_mb)
            if memory_mb > LIMITS["memory_mb"]:
                kills[node.name].append(round(now() - world.record.started_at, 2))
                world.record.write(
                    "memory-kill", node=node.name, memory_mb=round(memory_mb, 1)
                )
                node.process.kill()
                node.process.wait()
                asyncio.get_running_loop().call_later(RESTART_S, node.start)
        await asyncio.sleep(0.02)


async def case(world: World) -> int:
    """Play the case."""
    await world.store.start()
    zones = list(world.zones)
    for i in range(6):
        name, zone = f"i-{i:08x}", zones[i % 3]
        replica = EndlessReplica(
            world.record, SERVICE, name, zone=zone, slots=3, work_s=0.09
        )
        await world.add(replica)
    world.publish([route("r-1", HOST, PREFIX, service=SERVICE)])
    if not await world.start_nodes():
        world.record.say("the machines did not start")
        return 2
    kills = {node.name: [] for node in world.nodes}
    peaks = dict.fromkeys(kills, 0.0)
    watcher = asyncio.create_task(watch_memory(world, kills, peaks))
    clients = [world.client(node) for node in world.nodes]
    rng = random.Random(7)
    tasks, n_sent, started_at = [], 0, now()
    while (elapsed_s := now() - started_at) < LENGTH_S:
        in_trouble = TROUBLE_FROM_S <= elapsed_s < TROUBLE_UNTIL_S
        is_endless = in_trouble and n_sent % round(1 / SHARE) == 0
        target = f"{PREFIX}{ENDLESS if is_endless else 'x'}/{n_sent}"
        client = clients[rng.randrange(len(clients))]
        call = client.call(HOST, target, DEADLINE_MS, patience_s=0.5)
        tasks.append(asyncio.create_task(call))
        n_sent += 1
        await asyncio.sleep(max(0.0, started_at + n_sent / PER_S - now()))
    answers = await asyncio.gather(*tasks)
    watcher.cancel()
    by_status: dict[str, int] = {}
    for answer in answers:
        key = str(answer.status or answer.why)
        by_status[key] = by_status.get(key, 0) + 1
    world.record.say(f"answers: {by_status}")
    for name, times in kills.items():
        world.record.say(
            f"{name}: peak {peaks[name]:.0f} MB of {LIMITS['memory_mb']}, "
            f"ended {len(times)} times for its memory, at {times}"
        )
    served = by_status.get("200", 0)
    if served < 0.5 * len(answers):
        world.record.say("too few requests were served")
    n_often = sum(len(times) >= 3 for times in kills.values())
    if n_often >= 2:
        world.record.say(f"BROKEN: {n_often} machines ended three times by themselves")
        return 1
    if served < 0.5 * len(answers):
        return 2
    world.record.say("held")
    return 0


if __name__ == "__main__":
    main(case, __file__)
