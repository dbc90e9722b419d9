"""Show what jackdawsill does for Envases and Karoo; run by `make demo`.

Everything runs in one process on loopback. Each claim is checked as it is printed; the
exit status is 1 if one is not true.
"""

import asyncio
import sys
import time
from dataclasses import replace

import logbook
import uvloop

from examples._world import DemoFailed, Reply, World, until
from jackdawsill.objects import diff

LIMIT_S = 30.0
SPREAD_LIMIT_S = 5.0  # invariant I8
LEAVING_LIMIT_S = 3.0  # invariant I6
STOP_LIMIT_S = 12.0
RECOVERY_LIMIT_S = 5.0
# The balancer sends elsewhere after this many failed checks in a row.
BALANCER_FAILURES = 3
BALANCER_PERIOD_S = 1.0

ENVASES_ITEMS = {
    "a": ("dieline", "label-artwork", "draft-proof", "approved-proof"),
    "c": ("quotation",),
    "f": ("material-spec",),
    "p": ("order-receipt",),
}
KAROO_ITEMS = {
    "a": ("dark-sky-alert",),
    "t": ("trend-report",),
    "m": ("brightness-reading", "raw-reading"),
    "c": ("compliance-receipt",),
}


def items_of(classes: dict[str, tuple[str, ...]]):
    """Return the content function of backend servers: one item for each class."""

    def items(shard: str, snapshot: str, body: dict) -> list[dict]:
        return [
            {"id": f"{shard}-{kind}", "class": kind, "snapshot": snapshot}
            for kind in classes[shard[0]]
        ]

    return items


def check(claim: str, truth: object) -> None:
    """Print a claim; stop the demonstration if it is not true."""
    if not truth:
        raise DemoFailed(claim)
    print(f"  ok  {claim}", flush=True)


def title(text: str) -> None:
    """Print the heading of a step."""
    print(f"\n{text}", flush=True)


def show(reply: Reply) -> str:
    """Return an answer in one line."""
    body = reply.body
    if reply.status != 200:
        error = body["error"]
        return f"{reply.status} {error['code']} {error['name']}, {error['outcome']}"
    missing = ", ".join(f"{m['shard']} ({m['reason']})" for m in body["missing"])
    n_shards = len(body["covered"]) + len(body["missing"])
    return (
        f"{len(body['items'])} items, {len(body['covered'])} of {n_shards} shards of "
        f"{body['snapshot']}" + (f", missing {missing}" if missing else "")
    )


def classes(reply: Reply) -> set[str]:
    """Return the document classes in an answer."""
    return {item["class"] for item in reply.body["items"]}


def is_whole(reply: Reply, n_shards: int) -> bool:
    """Tell whether an answer covers all shards from one snapshot."""
    if reply.status != 200 or not reply.body["complete"]:
        return False
    snapshots = {item["snapshot"] for item in reply.body["items"]}
    covered = reply.body["covered"]
    return snapshots == {reply.body["snapshot"]} and len(set(covered)) == n_shards


async def searches(envases: World, karoo: World) -> None:
    """Show answers with coverage, and what each caller may see."""
    title("Envases: proof search; Karoo: brightness query")
    text = {"text": "carton 400 ml"}
    reply = await envases.query(0, "proof-search", "studio-bogota", text)
    print(f"  studio-bogota: {show(reply)}")
    check("the studio's answer covers all 10 shards", is_whole(reply, 10))
    check("it holds drafts", classes(reply) == {"draft-proof", "approved-proof"})
    reply = await envases.query(1, "proof-search", "imprenta-andina", text)
    print(f"  imprenta-andina: {show(reply)}")
    check(
        "the print house gets approved proofs only",
        is_whole(reply, 10) and classes(reply) == {"approved-proof"},
    )
    place = {"place": "Sutherland", "nights": 3}
    reply = await karoo.query(2, "brightness-query", "karoo-reserve", place)
    print(f"  karoo-reserve: {show(reply)}")
    check(
        "the reserve gets readings of the whole query, without raw ones",
        is_whole(reply, 1) and classes(reply) == {"brightness-reading"},
    )


async def alerts(karoo: World, n: int) -> list[Reply]:
    """Run alert queries through all hosts at once."""
    tasks = (
        karoo.query(k % 3, "dark-sky-alerts", "karoo-reserve", {"n": k})
        for k in range(n)
    )
    return await asyncio.gather(*tasks)


async def lose_replicas(karoo: World) -> None:
    """Lose one replica, then a whole service, then get them back."""
    title("Karoo: loss of replicas while alerts are queried")
    first, *others = karoo.replicas("alertdesk-03")
    running = asyncio.create_task(alerts(karoo, 12))
    await first.run_started.wait()
    first.crash()
    replies = await running + await alerts(karoo, 12)
    check(
        "24 answers are whole although a replica crashed meanwhile",
        all(is_whole(reply, 10) for reply in replies),
    )
    for server in others:
        server.crash()
    replies = await alerts(karoo, 3)
    print(f"  whole service lost: {show(replies[0])}")
    lost = karoo.objects.snapshots_of("alertdesk")[0].shards[2].name
    check(
        f"the answers say that exactly {lost} is missing",
        all(
            r.status == 200
            and not r.body["complete"]
            and [m["shard"] for m in r.body["missing"]] == [lost]
            and lost not in r.body["covered"]
            for r in replies
        ),
    )
    for server in (first, *others):
        await server.start()

    async def all_whole() -> bool:
        return all(is_whole(reply, 10) for reply in await alerts(karoo, 3))

    took_s = await until("answers are whole again", all_whole, RECOVERY_LIMIT_S)
    check(f"answers are whole {took_s:.1f} s after the service came back", True)


async def move_caller(envases: World) -> None:
    """Move a caller to another department while it queries."""
    title("Envases: account-desk-cali moves from account management to design")
    before = envases.objects
    desk = before.callers["account-desk-cali"]
    slow = envases.replicas("cotiza-05")
    for server in slow:
        server.gate = asyncio.Event()
        server.run_started.clear()
    waits = [asyncio.create_task(server.run_started.wait()) for server in slow]
    query = asyncio.create_task(
        envases.query(1, "quotation-search", desk.name, {"n": 1}, X_Deadline_Ms="9000")
    )
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    moved = replace(desk, department="design")
    after = replace(before, callers={**before.callers, desk.name: moved})
    envases.publish(after)

    async def in_force() -> bool:
        return await envases.generations(0, 1, 2) == {envases.generation}

    took_s = await until("the new set is in force", in_force, SPREAD_LIMIT_S)
    check(f"generation 2 is in force on all hosts after {took_s:.2f} s", True)
    for task in waits:
        task.cancel()
    for server in slow:
        server.gate.set()
        server.gate = None
    reply = await query
    print(f"  quotation search that ran meanwhile: {show(reply)}")
    check(
        "its answer is withheld, and the refusal says that it ran in part",
        reply.status == 403 and reply.body["error"]["outcome"] == "partly_run",
    )
    reply = await envases.query(2, "quotation-search", desk.name, {"n": 2})
    check(
        f"a new quotation search is refused: {show(reply)}",
        reply.status == 403 and reply.body["error"]["outcome"] == "not_run",
    )
    reply = await envases.query(0, "dieline-search", desk.name, {"n": 3})
    check("a dieline search of the desk is answered", is_whole(reply, 10))
    for change in diff(before, after).callers:
        lost = ", ".join(change.routes_lost)
        print(f"  diff: {change.caller} loses {lost}")


async def drain(envases: World) -> None:
    """Drain a backend server while queries run."""
    title("Envases: backend server archivo-02-a drains during searches")
    server = envases.backends["archivo-02-a"]
    loop = asyncio.get_running_loop()
    replies = []

    async def search() -> None:
        tasks = (
            envases.query(n, "proof-search", "studio-medellin", {"n": len(replies)})
            for n in range(3)
        )
        replies.extend(await asyncio.gather(*tasks))

    while server.n_run_ < 20:
        await search()
    server.script.draining = True
    first_s = None
    while first_s is None or loop.time() < first_s + LEAVING_LIMIT_S:
        n_before = server.n_arrived_
        await search()
        if first_s is None and server.n_arrived_ > n_before:
            first_s = loop.time()
    n_after = server.n_arrived_
    for _ in range(20):
        await search()
    for reply in [r for r in replies if not is_whole(r, 10)][:3]:
        print(f"  not whole: {show(reply)}")
    check(
        f"all {len(replies)} answers are whole",
        all(is_whole(reply, 10) for reply in replies),
    )
    check(
        f"it got no new work from {LEAVING_LIMIT_S:g} s after the first evidence",
        server.n_arrived_ == n_after,
    )


async def print_order(envases: World) -> str:
    """Order a print with a ticket, and send it again through another host."""
    title("Envases: a print order runs once")
    order = {"proof": "a03-approved-proof", "copies": 12000}
    caller = "account-desk-bogota"
    reply = await envases.query(0, "print-order", caller, order)
    ticket = reply.body.get("ticket")
    check(f"without a ticket: {show(reply)}", reply.status == 428 and ticket)
    first = await envases.query(0, "print-order", caller, order, X_Ticket=ticket)
    check(f"with the ticket: {show(first)}", first.status == 200)
    again = await envases.query(1, "print-order", caller, order, X_Ticket=ticket)
    check(
        "a resend through another host gets the recorded answer",
        again.status == 200 and again.body["items"] == first.body["items"],
    )
    check("the order ran once", n_orders(envases) == 1)
    other = {**order, "copies": 99}
    misuse = await envases.query(2, "print-order", caller, other, X_Ticket=ticket)
    check(f"the ticket with another order: {show(misuse)}", misuse.status >= 400)
    return ticket


def n_orders(envases: World) -> int:
    """Return how many print orders backend servers ran."""
    return sum(server.n_run_ for server in envases.replicas("pedidos"))


async def stop_host(envases: World, ticket: str) -> None:
    """Stop the host that issued the ticket."""
    title("Envases: graceful stop of the host that issued the ticket")
    host = envases.hosts[0]
    loop = asyncio.get_running_loop()
    host.request_stop()
    began_s = loop.time()
    check("its health check fails at once", not await envases.is_ready(0))
    replies = []
    n_failures = 0
    next_check_s = began_s
    while n_failures < BALANCER_FAILURES:
        if loop.time() >= next_check_s:
            next_check_s += BALANCER_PERIOD_S
            n_failures = 0 if await envases.is_ready(0) else n_failures + 1
        reply = await envases.query(0, "proof-search", "studio-bogota", {"n": 0})
        replies.append(reply)
    try:
        await asyncio.wait_for(host.exited.wait(), STOP_LIMIT_S)
    except TimeoutError:
        raise DemoFailed(f"the host stops within {STOP_LIMIT_S:g} s") from None
    check(
        f"all {len(replies)} searches that the balancer sent to it before it noticed "
        "were answered whole",
        all(is_whole(reply, 10) for reply in replies),
    )
    print(f"  the host ended {loop.time() - began_s:.1f} s after the request")
    envases.list_hosts()
    order = {"proof": "a03-approved-proof", "copies": 12000}
    reply = await envases.query(
        2, "print-order", "account-desk-bogota", order, X_Ticket=ticket
    )
    print(f"  the ticket at another host: {show(reply)}")
    check(
        "the successor still knows the outcome of the ticket",
        reply.status == 200 and n_orders(envases) == 1,
    )

    async def forgotten() -> bool:
        views = [await envases.view(n, "/status") for n in (1, 2)]
        return all(view["members"]["n_live"] == 2 for view in views)

    await until("the other hosts know that it left", forgotten, RECOVERY_LIMIT_S)
    status = await envases.view(1, "/status")
    check(
        f"live hosts: {', '.join(status['members']['live'])}; "
        f"generation {status['host']['generation']}",
        status["host"]["generation"] == envases.generation,
    )


async def run(envases: World, karoo: World) -> None:
    """Run all steps."""
    title("Start: stand-ins and three entry hosts for each user")
    took_s = [
        await envases.start(items_of(ENVASES_ITEMS)),
        await karoo.start(items_of(KAROO_ITEMS)),
    ]
    n_backends = len(envases.backends) + len(karoo.backends)
    check(f"{n_backends} backend servers and 6 hosts run", True)
    print(f"  hosts were ready after {took_s[0]:.1f} s and {took_s[1]:.1f} s")
    await searches(envases, karoo)
    await lose_replicas(karoo)
    await move_caller(envases)
    await drain(envases)
    ticket = await print_order(envases)
    await stop_host(envases, ticket)


async def main() -> int:
    """Run the demonstration within its limit; return the exit status."""
    started_s = time.monotonic()
    envases = World("envases", ("bogota", "medellin", "cali"), 1)
    karoo = World("karoo", ("western-cape", "northern-cape", "gauteng"), 2)
    try:
        async with asyncio.timeout(LIMIT_S):
            await run(envases, karoo)
    except DemoFailed as exc:
        print(f"\nDEMO FAILED: not true: {exc}", file=sys.stderr)
        return 1
    except TimeoutError:
        print(f"\nDEMO FAILED: not done within {LIMIT_S:g} s", file=sys.stderr)
        return 1
    finally:
        await envases.stop()
        await karoo.stop()
    print(f"\nAll of it is true; {time.monotonic() - started_s:.1f} s.")
    return 0


if __name__ == "__main__":
    with logbook.StderrHandler(level=logbook.ERROR).applicationbound():
        sys.exit(uvloop.run(main()))
