"""Measure the cost of membership, configuration and quarantine by fleet size.

All hosts run in one process on the in-memory network of the tests, in virtual time.
Bytes are those of msgpack frames; TCP and kernel cost are not included. CPU is the
process time spent in the reducer and the codec, divided by hosts and virtual seconds.

    python -m benchmarks.control [--sizes 18,50,100,200] [--seed 1] [--partition]
"""

import statistics
import sys
import time
from collections import Counter
from dataclasses import dataclass, field, fields, is_dataclass
from typing import Any

import fire

from jackdawsill.core import reduce
from jackdawsill.membership import MemberTable
from jackdawsill.membership.tests.network import FakeNetwork, Node
from jackdawsill.peers import Decoder, encode
from jackdawsill.quarantine import Quarantine
from jackdawsill.spread import ConfigSync
from jackdawsill.spread.tests.fakes import FakeService, all_at, load_bundle, make_set

WARM_UP_S = 15.0
STEADY_S = 30.0
CHANGE_S = 10.0
PARTITION_S = 60.0
N_VALUES = 10
VALUE_BYTES = 50_000  # a change replaces two of ten values
N_DOMAINS = 6
DESIGN_HOSTS = 730
KB = 1000.0


@dataclass(slots=True)
class Meter:
    """Messages, bytes and CPU time of all hosts while it is attached."""

    n_messages: int = 0
    n_bytes: int = 0
    reduce_s: float = 0.0
    codec_s: float = 0.0
    by_host: Counter[str] = field(default_factory=Counter)
    by_kind: Counter[str] = field(default_factory=Counter)
    decoder: Decoder = field(default_factory=Decoder)

    def on_send(self, node: Node, message: Any) -> None:
        """Encode and decode a message as the daemons do, and count it."""
        started_at = time.process_time()
        frame = encode(message)
        list(self.decoder.feed(frame))
        self.codec_s += time.process_time() - started_at
        size = len(frame)
        self.n_messages += 1
        self.n_bytes += size
        self.by_host[node.state.name] += size
        self.by_kind[type(message).__name__] += size

    def reduce(self, state: Any, event: Any, now: float) -> Any:
        """Run the reducer and add its time."""
        started_at = time.process_time()
        effects = reduce(state, event, now)
        self.reduce_s += time.process_time() - started_at
        return effects


@dataclass(slots=True)
class Row:
    """Measurements of one fleet size; rates are per host and second."""

    n_hosts: int
    messages_per_s: float
    bytes_per_s: float
    cpu_percent: float
    member_kb: float
    spread_kb: float
    change_s: float
    change_messages: float  # per host and change, beyond the steady state
    change_kb: float
    change_max_kb: float  # of the host that sent the most bytes
    change_cpu_ms: float


def deep_size(value: Any, seen: set[int]) -> int:
    """Return the bytes of an object and all objects that it references."""
    if id(value) in seen or isinstance(value, type) or callable(value):
        return 0
    seen.add(id(value))
    size = sys.getsizeof(value)
    if isinstance(value, dict):
        referents = [*value.keys(), *value.values()]
    elif isinstance(value, list | tuple | set | frozenset):
        referents = list(value)
    elif is_dataclass(value):
        referents = [getattr(value, f.name) for f in fields(value)]
    elif hasattr(value, "__slots__"):
        referents = [getattr(value, s) for s in value.__slots__ if hasattr(value, s)]
    elif hasattr(value, "__iter__") and not isinstance(value, str | bytes | bytearray):
        referents = list(value)
    else:
        referents = []
    return size + sum(deep_size(referent, seen) for referent in referents)


def measure(n_hosts: int, seed: int) -> tuple[Row, Counter[str]]:
    """Run one fleet; return its measurements and the idle bytes by message class."""
    network, service = start(n_hosts, seed)
    steady = Meter()
    network.on_send, network.reduce = steady.on_send, steady.reduce
    network.run(STEADY_S)
    change = Meter()
    network.on_send, network.reduce = change.on_send, change.reduce
    service.publish(*make_set(2, N_VALUES, VALUE_BYTES))
    started_at = network.now
    if not network.run(CHANGE_S, lambda: all_at(network, 2)):
        raise RuntimeError(f"the change did not reach the fleet of {n_hosts}")
    change_s = network.now - started_at
    network.run(CHANGE_S - change_s)
    # Idle traffic in the period of the change is subtracted.
    period_ratio = CHANGE_S / STEADY_S
    state = network.nodes[0].state
    row = Row(
        n_hosts,
        steady.n_messages / n_hosts / STEADY_S,
        steady.n_bytes / n_hosts / STEADY_S,
        100 * (steady.reduce_s + steady.codec_s) / n_hosts / STEADY_S,
        deep_size(state.component(MemberTable), set()) / KB,
        deep_size(state.component(ConfigSync), set()) / KB,
        change_s,
        (change.n_messages - steady.n_messages * period_ratio) / n_hosts,
        (change.n_bytes - steady.n_bytes * period_ratio) / n_hosts / KB,
        max(change.by_host.values()) / KB,
        1000 * (change.reduce_s + change.codec_s) / n_hosts
        - 1000 * period_ratio * (steady.reduce_s + steady.codec_s) / n_hosts,
    )
    return row, steady.by_kind


def start(n_hosts: int, seed: int) -> tuple[FakeNetwork, FakeService]:
    """Start a fleet; wait until all hosts know each other and accepted generation 1."""
    network = FakeNetwork(seed)
    service = FakeService(network)
    service.publish(*make_set(1, N_VALUES, VALUE_BYTES))
    for i in range(n_hosts):
        components = (ConfigSync(load_bundle), Quarantine())
        network.add(f"h{i}", f"d{i % N_DOMAINS}", *components)
    network.run(WARM_UP_S)
    complete = all(len(n.table.live_members()) == n_hosts for n in network.live())
    if not complete or not all_at(network, 1):
        raise RuntimeError(f"the fleet of {n_hosts} did not settle")
    return network, service


def measure_partition(n_hosts: int, seed: int) -> None:
    """Print the bytes sent per host during and after a partition of the fleet."""
    network, _ = start(n_hosts, seed)
    domains = {f"d{i}" for i in range(N_DOMAINS // 2)}
    partitioned = {
        n.member.address for n in network.live() if n.state.failure_domain in domains
    }

    def settled(node: Node) -> bool:
        n_live = len(node.table.live_members())
        if not network.sides:
            return n_live == n_hosts
        return n_live == (
            len(partitioned)
            if node.member.address in partitioned
            else n_hosts - len(partitioned)
        )

    for name, sides in (("cut", dict.fromkeys(partitioned, 1)), ("heal", {})):
        meter = Meter()
        network.on_send, network.reduce = meter.on_send, meter.reduce
        network.sides, started_at = sides, network.now
        done = network.run(
            PARTITION_S, lambda: all(settled(node) for node in network.live())
        )
        settled_s = network.now - started_at
        network.run(PARTITION_S - settled_s)
        print(
            f"{n_hosts} hosts, {name}: settled {done} after {settled_s:.1f} s; sent "
            f"per host in {PARTITION_S:.0f} s: {meter.n_bytes / n_hosts / KB:.0f} KB, "
            f"most by one host {max(meter.by_host.values()) / KB:.0f} KB",
            flush=True,
        )


def main(
    sizes: int | tuple[int, ...] = (18, 50, 100, 200),
    seed: int = 1,
    partition: bool = False,
) -> None:
    """Print a line for each fleet size, the slopes and values for the design size."""
    if isinstance(sizes, int):
        sizes = (sizes,)
    if partition:
        for n_hosts in sizes:
            measure_partition(n_hosts, seed)
        return
    names = [f.name for f in fields(Row)]
    print(" ".join(f"{name:>16}" for name in names))
    rows: list[Row] = []
    kinds: Counter[str] = Counter()
    for n_hosts in sizes:
        row, kinds = measure(int(n_hosts), seed)
        rows.append(row)
        print(" ".join(f"{getattr(row, name):16.2f}" for name in names), flush=True)
    total = sum(kinds.values())
    shares = ", ".join(f"{k} {100 * v / total:.0f}%" for k, v in kinds.most_common(8))
    print(f"steady bytes by message in the last fleet: {shares}")
    # In fleets of up to 18 hosts each host is linked to all others; the line is fitted
    # to larger fleets only.
    partly_linked = [row for row in rows if row.n_hosts > 18]
    if len(partly_linked) < 2:
        return
    n = [row.n_hosts for row in partly_linked]
    for name in names[1:]:
        line = statistics.linear_regression(
            n, [getattr(r, name) for r in partly_linked]
        )
        at_design = line.intercept + line.slope * DESIGN_HOSTS
        print(
            f"{name:>16}: {line.slope:+.5f} per host, {at_design:.2f} extrapolated to "
            f"{DESIGN_HOSTS} hosts"
        )


if __name__ == "__main__":
    fire.Fire(main)
