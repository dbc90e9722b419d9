"""Demonstrate jackdawsill with two example users, Envases and Karoo (`make demo`).

All hosts and servers run in one process on loopback. Each printed claim is checked; the
exit status is 1 if one is not true.
"""

import asyncio
import sys
import time
from dataclasses import replace

import logbook
import uvloop

from examples._world import DemoFailed, ExampleFleet, Reply, wait_until
from jackdawsill.objects import diff

DEMO_TIMEOUT_S = 30.0
CONFIG_TIMEOUT_S = 5.0  # until all hosts accept a new set (invariant I8)
LEAVING_LIMIT_S = 3.0  # until a leaving replica gets no new work (invariant I6)
STOP_TIMEOUT_S = 12.0
RECOVERY_TIMEOUT_S = 5.0
# The load balancer removes a host after this many consecutive failed health checks.
BALANCER_FAILURES = 3
BALANCER_PERIOD_S = 1.0

# Document classes of the items that a shard returns, by the first letter of its name.
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


def make_items_function(classes_by_letter: dict[str, tuple[str, ...]]):
    """Return a function for `BackendScript.items`: one item for each class."""

    def items(shard: str, snapshot: str, body: dict) -> list[dict]:
        return [
            {"id": f"{shard}-{kind}", "class": kind, "snapshot": snapshot}
            for kind in classes_by_letter[shard[0]]
        ]

    return items


def check(claim: str, condition: object) -> None:
    """Print a claim; raise DemoFailed if it is not true."""
    if not condition:
        raise DemoFailed(claim)
    print(f"  ok  {claim}", flush=True)


def print_title(text: str) -> None:
    """Print the heading of a step."""
    print(f"\n{text}", flush=True)


def format_reply(reply: Reply) -> str:
    """Return a one-line summary of an answer or a refusal."""
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


def item_classes(reply: Reply) -> set[str]:
    """Return the document classes of an answer's items."""
    return {item["class"] for item in reply.body["items"]}


def is_complete(reply: Reply, n_shards: int) -> bool:
    """Return whether an answer covers all shards from one snapshot."""
    if reply.status != 200 or not reply.body["complete"]:
        return False
    snapshots = {item["snapshot"] for item in reply.body["items"]}
    covered = reply.body["covered"]
    return snapshots == {reply.body["snapshot"]} and len(set(covered)) == n_shards


async def show_searches(envases: ExampleFleet, karoo: ExampleFleet) -> None:
    """Show answers with coverage, and that items are filtered by caller."""
    print_title("Envases: proof search; Karoo: brightness query")
    text = {"text": "carton 400 ml"}
    reply = await envases.query(0, "proof-search", "studio-bogota", text)
    print(f"  studio-bogota: {format_reply(reply)}")
    check("the studio's answer covers all 10 shards", is_complete(reply, 10))
    check("it holds drafts", item_classes(reply) == {"draft-proof", "approved-proof"})
    reply = await envases.query(1, "proof-search", "imprenta-andina", text)
    print(f"  imprenta-andina: {format_reply(reply)}")
    check(
        "the print house gets approved proofs only",
        is_complete(reply, 10) and item_classes(reply) == {"approved-proof"},
    )
    place_query = {"place": "Sutherland", "nights": 3}
    reply = await karoo.query(2, "brightness-query", "karoo-reserve", place_query)
    print(f"  karoo-reserve: {format_reply(reply)}")
    check(
        "the reserve gets readings of the whole query, without raw ones",
        is_complete(reply, 1) and item_classes(reply) == {"brightness-reading"},
    )


async def query_alerts(karoo: ExampleFleet, n: int) -> list[Reply]:
    """Run `n` concurrent alert queries, spread evenly over the hosts."""
    tasks = (
        karoo.query(k % 3, "dark-sky-alerts", "karoo-reserve", {"n": k})
        for k in range(n)
    )
    return await asyncio.gather(*tasks)


async def lose_replicas(karoo: ExampleFleet) -> None:
    """Crash one replica, then its whole service, then restart them."""
    print_title("Karoo: loss of replicas while alerts are queried")
    first, *others = karoo.replicas("alertdesk-03")
    running = asyncio.create_task(query_alerts(karoo, 12))
    await first.run_started.wait()
    first.crash()
    replies = await running + await query_alerts(karoo, 12)
    check(
        "24 answers are whole although a replica crashed meanwhile",
        all(is_complete(reply, 10) for reply in replies),
    )
    for server in others:
        server.crash()
    replies = await query_alerts(karoo, 3)
    print(f"  whole service lost: {format_reply(replies[0])}")
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

    async def all_complete() -> bool:
        return all(is_complete(reply, 10) for reply in await query_alerts(karoo, 3))

    took_s = await wait_until(
        "answers are whole again", all_complete, RECOVERY_TIMEOUT_S
    )
    check(f"answers are whole {took_s:.1f} s after the service came back", True)


async def move_caller(envases: ExampleFleet) -> None:
    """Move a caller to another department while its query runs."""
    print_title("Envases: account-desk-cali moves from account management to design")
    before = envases.objects
    account_desk = before.callers["account-desk-cali"]
    slow = envases.replicas("cotiza-05")
    for server in slow:
        server.gate = asyncio.Event()
        server.run_started.clear()
    run_waiters = [asyncio.create_task(server.run_started.wait()) for server in slow]
    query = asyncio.create_task(
        envases.query(
            1, "quotation-search", account_desk.name, {"n": 1}, X_Deadline_Ms="9000"
        )
    )
    # The query is sent to one replica of the service: wait until it runs there.
    await asyncio.wait(run_waiters, return_when=asyncio.FIRST_COMPLETED)
    moved = replace(account_desk, department="design")
    after = replace(before, callers={**before.callers, account_desk.name: moved})
    envases.publish(after)

    async def accepted() -> bool:
        return await envases.generations(0, 1, 2) == {envases.generation}

    took_s = await wait_until("the new set is in force", accepted, CONFIG_TIMEOUT_S)
    check(f"generation 2 is in force on all hosts after {took_s:.2f} s", True)
    for task in run_waiters:
        task.cancel()
    for server in slow:
        server.gate.set()
        server.gate = None
    reply = await query
    print(f"  quotation search that ran meanwhile: {format_reply(reply)}")
    check(
        "its answer is withheld, and the refusal says that it ran in part",
        reply.status == 403 and reply.body["error"]["outcome"] == "partly_run",
    )
    reply = await envases.query(2, "quotation-search", account_desk.name, {"n": 2})
    check(
        f"a new quotation search is refused: {format_reply(reply)}",
        reply.status == 403 and reply.body["error"]["outcome"] == "not_run",
    )
    reply = await envases.query(0, "dieline-search", account_desk.name, {"n": 3})
    check("a dieline search of the desk is answered", is_complete(reply, 10))
    for change in diff(before, after).callers:
        lost = ", ".join(change.routes_lost)
        print(f"  diff: {change.caller} loses {lost}")


async def drain_backend(envases: ExampleFleet) -> None:
    """Drain a backend server while queries run."""
    print_title("Envases: backend server archivo-02-a drains during searches")
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
    evidence_at = None
    while evidence_at is None or loop.time() < evidence_at + LEAVING_LIMIT_S:
        n_before = server.n_arrived_
        await search()
        # The refusal of the first sub-request that arrives tells a host of the drain.
        if evidence_at is None and server.n_arrived_ > n_before:
            evidence_at = loop.time()
    n_after = server.n_arrived_
    for _ in range(20):
        await search()
    for reply in [r for r in replies if not is_complete(r, 10)][:3]:
        print(f"  not whole: {format_reply(reply)}")
    check(
        f"all {len(replies)} answers are whole",
        all(is_complete(reply, 10) for reply in replies),
    )
    check(
        f"it got no new work from {LEAVING_LIMIT_S:g} s after the first evidence",
        server.n_arrived_ == n_after,
    )


async def order_print(envases: ExampleFleet) -> str:
    """Order a print with a ticket, resend it to another host; return the ticket."""
    print_title("Envases: a print order runs once")
    print_job = {"proof": "a03-approved-proof", "copies": 12000}
    caller = "account-desk-bogota"
    reply = await envases.query(0, "print-order", caller, print_job)
    ticket = reply.body.get("ticket")
    check(f"without a ticket: {format_reply(reply)}", reply.status == 428 and ticket)
    first = await envases.query(0, "print-order", caller, print_job, X_Ticket=ticket)
    check(f"with the ticket: {format_reply(first)}", first.status == 200)
    again = await envases.query(1, "print-order", caller, print_job, X_Ticket=ticket)
    check(
        "a resend through another host gets the recorded answer",
        again.status == 200 and again.body["items"] == first.body["items"],
    )
    check("the order ran once", count_print_runs(envases) == 1)
    other_request = {**print_job, "copies": 99}
    misuse = await envases.query(
        2, "print-order", caller, other_request, X_Ticket=ticket
    )
    check(
        f"the ticket with another order: {format_reply(misuse)}", misuse.status >= 400
    )
    return ticket


def count_print_runs(envases: ExampleFleet) -> int:
    """Return how many print orders backend servers ran."""
    return sum(server.n_run_ for server in envases.replicas("pedidos"))


async def stop_issuer(envases: ExampleFleet, ticket: str) -> None:
    """Stop the host that issued the ticket; use the ticket at another host."""
    print_title("Envases: graceful stop of the host that issued the ticket")
    host = envases.hosts[0]
    loop = asyncio.get_running_loop()
    host.request_stop()
    started_at = loop.time()
    check("its health check fails at once", not await envases.is_ready(0))
    replies = []
    n_failures = 0
    next_check_at = started_at
    # Until the load balancer notices, it still sends searches to the stopping host.
    while n_failures < BALANCER_FAILURES:
        if loop.time() >= next_check_at:
            next_check_at += BALANCER_PERIOD_S
            n_failures = 0 if await envases.is_ready(0) else n_failures + 1
        reply = await envases.query(0, "proof-search", "studio-bogota", {"n": 0})
        replies.append(reply)
    try:
        await asyncio.wait_for(host.exited.wait(), STOP_TIMEOUT_S)
    except TimeoutError:
        raise DemoFailed(f"the host stops within {STOP_TIMEOUT_S:g} s") from None
    check(
        f"all {len(replies)} searches that the balancer sent to it before it noticed "
        "were answered whole",
        all(is_complete(reply, 10) for reply in replies),
    )
    print(f"  the host ended {loop.time() - started_at:.1f} s after the request")
    envases.update_host_list()
    print_job = {"proof": "a03-approved-proof", "copies": 12000}
    reply = await envases.query(
        2, "print-order", "account-desk-bogota", print_job, X_Ticket=ticket
    )
    print(f"  the ticket at another host: {format_reply(reply)}")
    check(
        "the successor still knows the outcome of the ticket",
        reply.status == 200 and count_print_runs(envases) == 1,
    )

    async def host_left() -> bool:
        statuses = [await envases.get_json(n, "/status") for n in (1, 2)]
        return all(status["members"]["n_live"] == 2 for status in statuses)

    await wait_until("the other hosts know that it left", host_left, RECOVERY_TIMEOUT_S)
    status = await envases.get_json(1, "/status")
    check(
        f"live hosts: {', '.join(status['members']['live'])}; "
        f"generation {status['host']['generation']}",
        status["host"]["generation"] == envases.generation,
    )


async def run(envases: ExampleFleet, karoo: ExampleFleet) -> None:
    """Run all steps."""
    print_title("Start: stand-ins and three entry hosts for each user")
    took_s = [
        await envases.start(make_items_function(ENVASES_ITEMS)),
        await karoo.start(make_items_function(KAROO_ITEMS)),
    ]
    n_backends = len(envases.backends) + len(karoo.backends)
    check(f"{n_backends} backend servers and 6 hosts run", True)
    print(f"  hosts were ready after {took_s[0]:.1f} s and {took_s[1]:.1f} s")
    await show_searches(envases, karoo)
    await lose_replicas(karoo)
    await move_caller(envases)
    await drain_backend(envases)
    ticket = await order_print(envases)
    await stop_issuer(envases, ticket)


async def main() -> int:
    """Run the demonstration within `DEMO_TIMEOUT_S`; return the exit status."""
    started_at = time.monotonic()
    envases = ExampleFleet("envases", ("bogota", "medellin", "cali"), 1)
    karoo = ExampleFleet("karoo", ("western-cape", "northern-cape", "gauteng"), 2)
    try:
        async with asyncio.timeout(DEMO_TIMEOUT_S):
            await run(envases, karoo)
    except DemoFailed as exc:
        print(f"\nDEMO FAILED: not true: {exc}", file=sys.stderr)
        return 1
    except TimeoutError:
        print(f"\nDEMO FAILED: not done within {DEMO_TIMEOUT_S:g} s", file=sys.stderr)
        return 1
    finally:
        await envases.stop()
        await karoo.stop()
    print(f"\nAll of it is true; {time.monotonic() - started_at:.1f} s.")
    return 0


if __name__ == "__main__":
    with logbook.StderrHandler(level=logbook.ERROR).applicationbound():
        sys.exit(uvloop.run(main()))
