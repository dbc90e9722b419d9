"""CPU cost of queries of 140 shards in the reducer, per sub-request.

Run as `python -m benchmarks.reducer [--profile]`. Events come from a simulated
backend, whose cost is not included.
"""

import cProfile
import gc
import pstats
import sys
import time
from collections.abc import Callable

from jackdawsill.core import (
    FailureKind,
    HostState,
    LoadReport,
    QueryArrived,
    SendAnswer,
    SendRefusal,
    SendSub,
    SubAnswered,
    SubFailed,
    Tick,
    TimerFired,
    reduce,
)
from jackdawsill.query.tests.fakes import World, object_set

N_SERVICES = 26
N_SHARDS = 140
N_QUERIES = 400
N_WARM_UP = 40
N_TIMERS_MAX = 30  # after these, the timer of the deadline ends the query
ITEMS = [{"class": "open", "id": "x"}]


class TimedReducer:
    """Reducer that measures its time; `now` is the virtual time."""

    def __init__(
        self, state: HostState, timer: Callable[[], float] = time.perf_counter
    ) -> None:
        self.state = state
        self.timer = timer
        self.spent_s = 0.0
        self.now = 100.0
        self.n_subs = 0

    def feed(self, event) -> list:
        """Pass an event to the reducer; return the effects."""
        started_at = self.timer()
        effects = reduce(self.state, event, self.now)
        self.spent_s += self.timer() - started_at
        return effects


def answer(send: SendSub) -> SubAnswered:
    """Return the answer to a sub-request."""
    load = LoadReport(1, 2)
    return SubAnswered(
        send.sub_id, send.request_id, send.snapshot, send.shard, ITEMS, load
    )


def run_query(reducer: TimedReducer, query_id: int, n_slow: int, n_shed: int) -> None:
    """Run one query; the last `n_slow` shards are hedged, `n_shed` others are shed."""
    request = QueryArrived(query_id, f"r{query_id}", "find", "token1", b'{"q":1}')
    pending = [e for e in reducer.feed(request) if isinstance(e, SendSub)]
    replies = 0
    n_seen = 0
    while pending:
        slow = pending[len(pending) - n_slow :] if n_slow else []
        ready = pending[: len(pending) - n_slow]
        n_slow = 0
        pending = []
        for send in ready:
            reducer.n_subs += 1
            reducer.now += 0.00005
            n_seen += 1
            # Other shards are shed in each query.
            if n_seen <= N_SHARDS and (n_seen + 7 * query_id) % N_SHARDS < n_shed:
                event = SubFailed(send.sub_id, FailureKind.SHED)
            else:
                event = answer(send)
            for effect in reducer.feed(event):
                if isinstance(effect, SendSub):
                    pending.append(effect)
                replies += isinstance(effect, SendAnswer)
        if slow:
            reducer.now += 0.06
            effects = reducer.feed(TimerFired(f"query:hedge:{query_id}"))
            pending += [e for e in effects if isinstance(e, SendSub)]
            pending += slow
    for _ in range(N_TIMERS_MAX):
        if replies:
            break
        # Shed shards wait for the timer of the query or for an answer of their service.
        reducer.now += 0.01
        effects = reducer.feed(TimerFired(f"query:hedge:{query_id}"))
        while effects:
            replies += sum(isinstance(e, (SendAnswer, SendRefusal)) for e in effects)
            sends = [e for e in effects if isinstance(e, SendSub)]
            reducer.n_subs += len(sends)
            effects = [e for send in sends for e in reducer.feed(answer(send))]
    if not replies:
        reducer.feed(TimerFired(f"query:end:{query_id}"))
        replies = 1
    reducer.now += 0.05
    reducer.feed(Tick())
    assert replies == 1, replies


def cost(
    n_slow: int,
    n_shed: int,
    n_shards: int = N_SHARDS,
    timer: Callable[[], float] = time.perf_counter,
) -> tuple[float, float]:
    """Return the time per sub-request and per query, in us, by the given timer."""
    world = World(object_set(N_SERVICES, n_shards, n_slots=8))
    reducer = TimedReducer(world.state, timer)
    for i in range(N_WARM_UP):
        run_query(reducer, i + 1, n_slow, n_shed)
    reducer.spent_s, reducer.n_subs = 0.0, 0
    gc.collect()
    for i in range(N_QUERIES):
        run_query(reducer, N_WARM_UP + i + 1, n_slow, n_shed)
    assert world.table.is_empty()
    return reducer.spent_s / reducer.n_subs * 1e6, reducer.spent_s / N_QUERIES * 1e6


def measure(name: str, n_slow: int, n_shed: int) -> None:
    """Print the cost of queries with slow and shed shards."""
    cost_us, query_us = cost(n_slow, n_shed)
    print(f"{name:24} {cost_us:6.1f} us per sub-request, {query_us:7.0f} us a query")


def measure_refusal() -> None:
    """Print the cost of refusing a query when the group's queue is full."""
    world = World(object_set(N_SERVICES, N_SHARDS))
    reducer = TimedReducer(world.state)
    n_queries = 20_000
    for i in range(n_queries):
        reducer.feed(QueryArrived(i + 1, f"r{i}", "find", "token1", b'{"q":1}'))
    cost_us = reducer.spent_s / n_queries * 1e6
    print(f"{'refusal when full':24} {cost_us:6.1f} us a query")


def main() -> None:
    """Print the costs; with `--profile`, print a profile of healthy queries."""
    if "--profile" in sys.argv:
        profile = cProfile.Profile()
        profile.runcall(measure, "healthy, profiled", 0, 0)
        pstats.Stats(profile).sort_stats("tottime").print_stats(25)
        return
    measure("healthy", 0, 0)
    measure("5% hedged", 7, 0)
    measure("5% shed", 0, 7)
    measure_refusal()


if __name__ == "__main__":
    main()
