"""Measure how long member lists take to converge after a fault, in virtual time.

All hosts run in one process on the in-memory network of the membership tests, with
delays of 0.5 to 20 ms. Isolated hosts send nothing, as after a loss of power or of a
switch. Convergence is the time until every live host lists exactly the live hosts, and
for a configuration until every live host has accepted it. Printed are view_s (member
lists), set_s (a set published after the fault) and joined_s (member lists after the
end of a partition).

    python -m benchmarks.convergence [--sizes 50,100,200] [--seed 1]
"""

import time
from collections.abc import Callable

import fire

from benchmarks.control import N_DOMAINS
from jackdawsill.core import ConfigReadFailed, ReadConfig
from jackdawsill.membership.tests.network import FakeNetwork, Node
from jackdawsill.quarantine import Quarantine
from jackdawsill.spread import ConfigSync
from jackdawsill.spread.tests.fakes import FakeService, all_at, load_bundle, make_set

SETTLE_S = 20.0
LIMIT_S = 120.0
RACK_HOSTS = 20  # hosts behind one switch, but at most a tenth of the fleet
PARTITION_S = 60.0
POWERED_OFF = 9  # side of the network for hosts that lost power

Faults = dict[str, Callable[["Fleet"], dict[str, float]]]
FAULTS: Faults = {}


def fault(name: str) -> Callable:
    """Return a decorator that registers the measurement of a fault in `FAULTS`."""

    def decorate(run: Callable) -> Callable:
        FAULTS[name] = run
        return run

    return decorate


class Fleet:
    """Fleet with a configuration service that only hosts on side 0 reach.

    Raises RuntimeError if the fleet does not settle within `SETTLE_S`.
    """

    def __init__(self, n_hosts: int, seed: int) -> None:
        self.n_hosts = n_hosts
        self.network = FakeNetwork(seed)
        self.service = FakeService(self.network)
        self.service.publish(*make_set(1))
        self.network.on_read = self.read
        for i in range(n_hosts):
            self.add_host(i)
        self.network.run(SETTLE_S)
        if not self.hosts_agree() or not all_at(self.network, 1):
            raise RuntimeError(f"the fleet of {n_hosts} did not settle")

    def add_host(self, i: int) -> Node:
        """Start host `i`, or replace it by a new process."""
        components = (ConfigSync(load_bundle), Quarantine())
        return self.network.add(f"h{i}", f"d{i % N_DOMAINS}", *components)

    def read(self, node: Node, effect: ReadConfig) -> object:
        """Answer a read of the configuration; it fails for hosts not on side 0."""
        if self.side(node):
            return ConfigReadFailed(effect.key, "unreachable")
        return self.service.read(node, effect)

    def side(self, node: Node) -> int:
        """Return the side of the network partition on which a host is."""
        return self.network.sides.get(node.member.address, 0)

    def running_nodes(self) -> list[Node]:
        """Return the hosts that run and have power."""
        return [node for node in self.network.live() if self.side(node) != POWERED_OFF]

    def hosts_agree(self) -> bool:
        """Return whether each running host lists exactly the hosts on its side."""
        sides: dict[int, set[str]] = {}
        for node in self.running_nodes():
            sides.setdefault(self.side(node), set()).add(node.member.incarnation)
        return all(
            len(node.table.members_) == len(sides[self.side(node)])
            and sides[self.side(node)] == node.table.members_.keys()
            for node in self.running_nodes()
        )

    def all_accepted(self, generation: int) -> bool:
        """Return whether all running hosts have accepted a generation."""
        return all(
            node.state.component(ConfigSync).generation_ == generation
            for node in self.running_nodes()
        )

    def time_until(self, condition: Callable[[], bool]) -> float:
        """Return the time until a condition is true, infinity after `LIMIT_S`."""
        started_at = self.network.now
        if not self.network.run(LIMIT_S, condition):
            return float("inf")
        return self.network.now - started_at

    def isolate(self, hosts: list[int], side: int) -> float:
        """Move hosts to a side; return the time until member lists agree."""
        for i in hosts:
            self.network.sides[f"h{i}"] = side
        return self.time_until(self.hosts_agree)


@fault("restart")
def restart(fleet: Fleet) -> dict[str, float]:
    """Replace one host at its address."""
    fleet.add_host(0)
    return {"view_s": fleet.time_until(fleet.hosts_agree)}


@fault("host lost")
def host_lost(fleet: Fleet) -> dict[str, float]:
    """Power off one host."""
    return {"view_s": fleet.isolate([0], POWERED_OFF)}


@fault("rack lost")
def rack_lost(fleet: Fleet) -> dict[str, float]:
    """Power off the hosts of one failure domain behind one switch."""
    n = min(RACK_HOSTS, fleet.n_hosts // 10)
    return {"view_s": fleet.isolate([i * N_DOMAINS for i in range(n)], POWERED_OFF)}


@fault("domain lost")
def domain_lost(fleet: Fleet) -> dict[str, float]:
    """Power off a failure domain, then publish an object set."""
    view_s = fleet.isolate(list(range(0, fleet.n_hosts, N_DOMAINS)), POWERED_OFF)
    fleet.service.publish(*make_set(2))
    return {"view_s": view_s, "set_s": fleet.time_until(lambda: fleet.all_accepted(2))}


@fault("regions apart")
def regions_apart(fleet: Fleet) -> dict[str, float]:
    """Partition three of six failure domains, publish on one side, then heal."""
    partitioned = [i for i in range(fleet.n_hosts) if i % N_DOMAINS >= N_DOMAINS // 2]
    partition_s = fleet.isolate(partitioned, 1)
    fleet.service.publish(*make_set(2))
    fleet.network.run(PARTITION_S)
    fleet.network.sides.clear()
    started_at = fleet.network.now
    set_s = fleet.time_until(lambda: fleet.all_accepted(2))
    fleet.time_until(fleet.hosts_agree)
    joined_s = fleet.network.now - started_at if fleet.hosts_agree() else float("inf")
    return {"view_s": partition_s, "set_s": set_s, "joined_s": joined_s}


def measure(name: str, n_hosts: int, seed: int) -> dict[str, float]:
    """Return the convergence times in s of one fault in a new fleet."""
    return FAULTS[name](Fleet(n_hosts, seed))


def main(
    sizes: str | tuple[int, ...] = (50, 100, 200), seed: int = 1, only: str = ""
) -> None:
    """Print one line for each fault and fleet size."""
    for n_hosts in (sizes,) if isinstance(sizes, int) else sizes:
        for name in FAULTS:
            if only and name != only:
                continue
            started_at = time.process_time()
            times = measure(name, int(n_hosts), seed)
            text = " ".join(f"{key} {value:.1f}" for key, value in times.items())
            cpu_s = time.process_time() - started_at
            print(f"{n_hosts} hosts, {name}: {text} (CPU {cpu_s:.0f} s)", flush=True)


if __name__ == "__main__":
    fire.Fire(main)
