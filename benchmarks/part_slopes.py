"""Cost lines of single components: tickets, quarantine, metrics, shares and more."""

import random
import time
from collections.abc import Callable
from dataclasses import replace

from benchmarks import tickets
from benchmarks._lines import Line, cpu_us, retained_bytes, role
from jackdawsill.assembly import assemble_host
from jackdawsill.burn import ErrorBudgets
from jackdawsill.core import Count, Observe, QueryFinished, Tick, reduce
from jackdawsill.hedging import HedgePolicy
from jackdawsill.limits import ConnectionShares
from jackdawsill.membership import Member, MemberRecord, MemberTable
from jackdawsill.metrics import Instruments, LatencyHistograms, MetricsSettings
from jackdawsill.objects import (
    Group,
    Objective,
    ObjectSet,
    Replica,
    Service,
    load_bundle,
)
from jackdawsill.quarantine import Quarantine, request_fingerprint
from jackdawsill.query.tests.fakes import World, object_set
from jackdawsill.routing import ReplicaTable

N_ROUNDS = 3
# Sizes at which a cost is measured. SCATTER are distances between used serials.
SERIES = (10, 50, 200)
SUSPICIONS = (100, 400, 1000)
SERIALS = (10_000, 50_000, 200_000)
SCATTER = (1, 10, 1024)
TICKETS_KEPT = (1_000, 5_000, 20_000)
REPLICAS = (200, 800, 3_200)
FLEETS = (50, 200, 730)
N_CALLS = 2_000
N_TAIL_SERVICES = 26
N_TAIL_WARM_UP = 100
N_TAIL_QUERIES = 1_000
BODY = b'{"text":"dieline 2041","limit":20}'


@role("tickets")
def measure_tickets() -> list[Line]:
    """Measure the ticket manager alone, and the memory of used serials."""
    lines = {
        name: Line(name.removesuffix("_us"), "us", "tickets issued before")
        for name in ("issue_us", "spend_us", "resend_us")
    }
    for n in TICKETS_KEPT:
        for name, value in tickets.measure_manager(n).items():
            lines[name].add(n, value)
    memory = []
    for step in SCATTER:
        line = Line(f"memory, one serial in {step} spent", "bytes", "serials")
        for n in SERIALS if step < 1000 else (1_000, 2_000, 4_000):
            build = tickets.used_serials(step)
            line.add(n, retained_bytes(lambda build=build, n=n: build(n)))
        memory.append(line)
    recorded = Line("memory, outcomes with 1,000 bytes", "bytes", "outcomes")
    for n in (500, 1_000, 2_000):
        recorded.add(n, retained_bytes(lambda n=n: tickets.recorded_outcomes(1_000)(n)))
    return [*lines.values(), *memory, recorded]


@role("quarantine")
def measure_quarantine() -> list[Line]:
    """Measure checks per query, crashes, and the memory of suspicions."""

    def build(n: int) -> Quarantine:
        quarantine = Quarantine()
        names = tuple(f"{random.Random(i).getrandbits(128):032x}" for i in range(n))
        quarantine.on_crash("svc1-1", names, 100.0)
        return quarantine

    check = Line("fingerprint and check, per query", "us", "suspicions")
    crash = Line("crash", "us", "fingerprints in flight")
    memory = Line("memory", "bytes", "suspicions")
    for _ in range(N_ROUNDS):
        for n in SUSPICIONS:
            quarantine = build(n)
            check.add(
                n,
                cpu_us(
                    lambda quarantine=quarantine: quarantine.check(
                        request_fingerprint("find", BODY), 101.0
                    ),
                    N_CALLS,
                ),
            )
            names = tuple(f"{i:032x}" for i in range(n))
            crash.add(
                n,
                cpu_us(lambda names=names: Quarantine().on_crash("r", names, 1.0), 5),
            )
    for n in SUSPICIONS:
        memory.add(n, retained_bytes(lambda n=n: build(n)))
    return [check, crash, memory]


def objectives(n: int) -> dict[str, Objective]:
    """Return one objective for each of `n` routes."""
    return {
        f"o{i}": Objective(f"o{i}", f"r{i}", 340, 0.99, 0.99, 0.05) for i in range(n)
    }


def fill(add: Callable[[str, str], None], n: int) -> None:
    """Call `add` with each of `n` callers and one route."""
    for i in range(n):
        add(f"c{i}", "r0")


@role("metrics_and_burn")
def measure_metrics() -> list[Line]:
    """Measure the CPU time per finished query, and the memory per series."""
    cost = Line("metrics and burn, per query", "us", "series")
    budgets_memory = Line("memory of burn", "bytes", "series")
    histograms_memory = Line("memory of latency histograms", "bytes", "series")
    report = Line("burn report with encoding", "us", "series")
    render = Line("scrape of the metrics", "us", "series")
    known = objectives(4)

    def finished(i: int) -> QueryFinished:
        return QueryFinished(f"c{i}", "r0", 0.05, 140, 140, 140, 147)

    def filled(n: int) -> ErrorBudgets:
        budgets = ErrorBudgets("h")
        for i in range(n):
            budgets.on_query(finished(i), known, 100.0)
        return budgets

    def recorded(n: int) -> LatencyHistograms:
        histograms = LatencyHistograms()
        fill(lambda caller, route: histograms.record(caller, route, 0.05), n)
        return histograms

    for _ in range(N_ROUNDS):
        for n in SERIES:
            budgets, histograms = filled(n), recorded(n)
            instruments = Instruments(MetricsSettings())
            order = random.Random(1)

            def query(
                budgets=budgets,
                histograms=histograms,
                instruments=instruments,
                order=order,
                n=n,
            ) -> None:
                i = order.randrange(n)
                labels = (("route", f"r{i % 4}"),)
                instruments.observe(Observe("query_seconds", 0.05, labels))
                instruments.count(Count("sub_requests_sent", 147, labels))
                instruments.count(Count("sub_requests_needed", 140, labels))
                budgets.on_query(finished(i), known, 100.0)
                histograms.record(f"c{i}", "r0", 0.05)

            cost.add(n, cpu_us(query, N_CALLS))
            for i in range(n):
                labels = (("route", f"r{i}"),)
                instruments.count(Count("sub_requests_sent", 147, labels))
            render.add(n, cpu_us(instruments.render))
            instruments.close()
            report.add(
                n,
                cpu_us(
                    lambda b=budgets, h=histograms: (
                        b.report(known, 1, 1.0),
                        h.encoded_histograms(),
                    )
                ),
            )
    for n in SERIES:
        budgets_memory.add(n, retained_bytes(lambda n=n: filled(n)))
        histograms_memory.add(n, retained_bytes(lambda n=n: recorded(n)))
    return [cost, report, render, budgets_memory, histograms_memory]


def replica_set(n: int) -> ObjectSet:
    """Return a set of `n` replicas with a cap of 50 connections each."""
    n_services = -(-n // 3)
    replicas = {
        f"s{i // 3}-{i % 3}": Replica(
            f"s{i // 3}-{i % 3}", f"s{i // 3}", "10.0.0.1", 1, "d"
        )
        for i in range(n)
    }
    services = {f"s{i}": Service(f"s{i}", "g") for i in range(n_services)}
    groups = {"g": Group("g", 2, 50, 6.0)}
    return ObjectSet(1, "", groups=groups, services=services, replicas=replicas)


def used_shares(n_replicas: int, n_hosts: int) -> ConnectionShares:
    """Return connection shares after one use of every replica."""
    shares = ConnectionShares("h0")
    shares.set_hosts([f"h{i}" for i in range(n_hosts)])
    objects = replica_set(n_replicas)
    shares.set_objects(objects)
    for name in objects.replicas:
        shares.share(name, 1.0)
    return shares


@role("shares")
def measure_shares() -> list[Line]:
    """Measure connection shares in fleets that exceed the cap of a replica."""
    first = Line("first use of a replica", "us", "hosts")
    holders = Line("holders of a replica, first call", "us", "hosts")
    again = Line("holders of a replica, later calls", "us", "hosts")
    change = Line("one host replaced, 730 hosts", "us", "replicas")
    held = Line("connections held, 3,200 replicas", "connections", "hosts")
    domain = Line("122 of 730 hosts lost, event loop held", "ms", "replicas")
    memory = Line("memory of shares, 730 hosts", "bytes", "replicas")
    for _ in range(2):
        for n in FLEETS:
            started_at = time.process_time()
            shares = used_shares(800, n)
            first.add(n, (time.process_time() - started_at) / 800 * 1e6)
            unused_names = iter(list(shares.objects_.replicas)[:200])
            holders.add(
                n, cpu_us(lambda s=shares, a=unused_names: s.holders(next(a)), 200)
            )
            again.add(n, cpu_us(lambda s=shares: s.holders("s0-0"), N_CALLS))
        for n in REPLICAS:
            shares = used_shares(n, 730)
            hosts = [f"h{i}" for i in range(730)]
            other = [*hosts[:729], "new"]
            change.add(n, cpu_us(lambda s=shares, o=other: s.set_hosts(o)))
            remaining_hosts = hosts[:608]
            lost = cpu_us(lambda s=shares, r=remaining_hosts: s.set_hosts(r))
            domain.add(n, lost / 1000)
    for n in FLEETS:
        shares = used_shares(3_200, n)
        held.add(n, sum(share.full for share in shares.shares_.values()))
    for n in REPLICAS:
        objects = replica_set(n)

        def build(objects=objects) -> ConnectionShares:
            shares = ConnectionShares("h0")
            shares.set_objects(objects)
            for name in objects.replicas:
                shares.share(name, 1.0)
            return shares

        memory.add(n, retained_bytes(build))
    return [first, holders, again, change, domain, held, memory]


@role("tick")
def measure_tick() -> list[Line]:
    """Measure a tick of a host without links, with all components attached."""
    line = Line("tick", "us", "hosts")
    for _ in range(N_ROUNDS):
        for n in FLEETS:
            member = Member("i0", "h0", "10.0.0.1:1", "d0")
            state = assemble_host(member, random.Random(1), load_bundle, b"")
            table = state.component(MemberTable)
            for i in range(1, n):
                record = MemberRecord(f"i{i}", f"h{i}", f"a{i}", f"d{i % 6}", 0, 0)
                table.apply(record, 1.0)
            reduce(state, Tick(), 1.0)
            line.add(n, cpu_us(lambda s=state: reduce(s, Tick(), 1.1), 500))
    return [line]


@role("tail")
def measure_tail() -> list[Line]:
    """Run queries with simulated replicas in virtual time, with and without hedges.

    Latencies are lognormal with a median of 10 ms and a sigma of 0.5; one in 100 takes
    20 times as long.
    """
    lines = []
    for extra_load in (0.0, 0.05):
        line = Line(f"p99 with {extra_load:.0%} extra load", "ms", "shards")
        sent = Line(f"extra load used of {extra_load:.0%}", "%", "shards")
        whole = Line(f"complete answers with {extra_load:.0%}", "%", "shards")
        for n in (10, 40, 140):
            p99_ms, extra_load_used, complete = tail_latency(n, extra_load)
            line.add(n, p99_ms)
            sent.add(n, extra_load_used)
            whole.add(n, complete)
        lines += [line, sent, whole]
    return lines


def tail_latency(n_shards: int, extra_load: float) -> tuple[float, float, float]:
    """Return the p99 in ms, the extra load in %, and complete answers in %."""
    objects = object_set(N_TAIL_SERVICES, n_shards, n_slots=8)
    callers = {n: replace(c, extra_load=extra_load) for n, c in objects.callers.items()}
    rng = random.Random(5)

    def behave(replica, send):
        slow = 20.0 if rng.random() < 0.01 else 1.0
        return 0.010 * rng.lognormvariate(0.0, 0.5) * slow, None

    world = World(replace(objects, callers=callers), behave=behave)
    took_ms, n_sent, n_complete = [], 0, 0
    for i in range(N_TAIL_WARM_UP + N_TAIL_QUERIES):
        started_at, before = world.now, len(world.sent)
        query_id = world.ask()
        world.run()
        replied_at, reply = world.replies.pop(query_id)[0]
        if i >= N_TAIL_WARM_UP:
            took_ms.append(1000 * (replied_at - started_at))
            n_sent += len(world.sent) - before
            n_complete += reply.answer.complete
    took_ms.sort()
    needed = n_shards * N_TAIL_QUERIES
    return (
        took_ms[int(0.99 * len(took_ms))],
        100 * (n_sent / needed - 1),
        100 * n_complete / N_TAIL_QUERIES,
    )


@role("routing_and_hedging")
def measure_routing() -> list[Line]:
    """Measure the memory of replica observations and latency histograms."""
    table = Line("memory of replica observations", "bytes", "replicas")
    hedging = Line("memory of hedge histograms", "bytes", "services")

    def observed(n: int) -> ReplicaTable:
        replica_table = ReplicaTable("d")
        for i in range(n):
            replica_table.on_sent(f"r{i}", 1.0)
            replica_table.on_answer(f"r{i}", 0.01, None, 1.1)
        return replica_table

    def observed_latencies(n: int) -> HedgePolicy:
        policy = HedgePolicy()
        for now in (1.0, 20.0):  # one time in each half of the sliding window
            for i in range(n):
                policy.on_answer(f"s{i}", 0.01, now)
        return policy

    for n in REPLICAS:
        table.add(n, retained_bytes(lambda n=n: observed(n)))
    for n in (26, 260, 1_067):
        hedging.add(n, retained_bytes(lambda n=n: observed_latencies(n)))
    return [table, hedging]
