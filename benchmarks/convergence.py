"""Measure how long the fleet's views take to agree after a fault, in virtual time.

All hosts run in one process on the in-memory network of the membership tests, with
delays of 0.5 to 20 ms. Cut hosts are silent, as after a loss of power or a switch.
Convergence is the time until every live host lists exactly the live hosts, and for a
configuration until every live host has it in force.

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
RACK_HOSTS = 20  # hosts behind one switch, at most the fleet's tenth
PARTITION_S = 60.0
OFF = 9  # side of hosts that lost power

Faults = dict[str, Callable[["Fleet"], dict[str, float]]]
FAULTS: Faults = {}


def fault(name: str) -> Callable:
    """Return a decorator that registers a fault."""

    def decorate(run: Callable) -> Callable:
        FAULTS[name] = run
        return run

    return decorate


class Fleet:
    """Fleet with a configuration service that only one side reaches."""

    def __init__(self, n_hosts: int, seed: int) -> None:
        self.n_hosts = n_hosts
        self.network = FakeNetwork(seed)
        self.service = FakeService(self.network)
        self.service.publish(*make_set(1))
        self.network.on_read = self.read
        for i in range(n_hosts):
            self.add(i)
        self.network.run(SETTLE_S)
        if not self.agree() or not all_at(self.network, 1):
            raise RuntimeError(f"the fleet of {n_hosts} did not settle")

    def add(self, i: int) -> Node:
        """Start a host, or replace it."""
        parts = (ConfigSync(load_bundle), Quarantine())
        return self.network.add(f"h{i}", f"d{i % N_DOMAINS}", *parts)

    def read(self, node: Node, effect: ReadConfig) -> object:
        """Answer a read of a host that reaches the service."""
        if self.side(node):
            return ConfigReadFailed(effect.key, "unreachable")
        return self.service.read(node, effect)

    def side(self, node: Node) -> int:
        """Return the side of the network on which a host is."""
        return self.network.sides.get(node.member.address, 0)

    def powered(self) -> list[Node]:
        """Return the hosts that run."""
        return [node for node in self.network.live() if self.side(node) != OFF]

    def agree(self) -> bool:
        """Tell whether each host lists exactly the hosts on its side."""
        sides: dict[int, set[str]] = {}
        for node in self.powered():
            sides.setdefault(self.side(node), set()).add(node.member.incarnation)
        return all(
            len(node.table.members_) == len(sides[self.side(node)])
            and sides[self.side(node)] == node.table.members_.keys()
            for node in self.powered()
        )

    def at(self, generation: int) -> bool:
        """Tell whether all hosts that run have a generation in force."""
        return all(
            node.state.component(ConfigSync).generation_ == generation
            for node in self.powered()
        )

    def wait(self, until: Callable[[], bool]) -> float:
        """Return the time until a condition holds; infinity if it never does."""
        began = self.network.now
        if not self.network.run(LIMIT_S, until):
            return float("inf")
        return self.network.now - began

    def cut(self, hosts: list[int], side: int) -> float:
        """Move hosts to a side; return the time until the views agree."""
        for i in hosts:
            self.network.sides[f"h{i}"] = side
        return self.wait(self.agree)


@fault("restart")
def restart(fleet: Fleet) -> dict[str, float]:
    """Replace one host at its address."""
    fleet.add(0)
    return {"view_s": fleet.wait(fleet.agree)}


@fault("host lost")
def host_lost(fleet: Fleet) -> dict[str, float]:
    """Lose one host silently."""
    return {"view_s": fleet.cut([0], OFF)}


@fault("rack lost")
def rack_lost(fleet: Fleet) -> dict[str, float]:
    """Lose hosts of one failure domain behind a switch."""
    n = min(RACK_HOSTS, fleet.n_hosts // 10)
    return {"view_s": fleet.cut([i * N_DOMAINS for i in range(n)], OFF)}


@fault("domain lost")
def domain_lost(fleet: Fleet) -> dict[str, float]:
    """Lose a failure domain; then publish a set."""
    view_s = fleet.cut(list(range(0, fleet.n_hosts, N_DOMAINS)), OFF)
    fleet.service.publish(*make_set(2))
    return {"view_s": view_s, "set_s": fleet.wait(lambda: fleet.at(2))}


@fault("regions apart")
def regions_apart(fleet: Fleet) -> dict[str, float]:
    """Part three of six failure domains, publish on one side, and join them."""
    far = [i for i in range(fleet.n_hosts) if i % N_DOMAINS >= N_DOMAINS // 2]
    apart_s = fleet.cut(far, 1)
    fleet.service.publish(*make_set(2))
    fleet.network.run(PARTITION_S)
    fleet.network.sides.clear()
    began = fleet.network.now
    set_s = fleet.wait(lambda: fleet.at(2))
    fleet.wait(fleet.agree)
    joined_s = fleet.network.now - began if fleet.agree() else float("inf")
    return {"view_s": apart_s, "set_s": set_s, "joined_s": joined_s}


def measure(name: str, n_hosts: int, seed: int) -> dict[str, float]:
    """Return the times of one fault in one fleet."""
    return FAULTS[name](Fleet(n_hosts, seed))


def main(
    sizes: str | tuple[int, ...] = (50, 100, 200), seed: int = 1, only: str = ""
) -> None:
    """Print one line for each fault and fleet size."""
    for n_hosts in (sizes,) if isinstance(sizes, int) else sizes:
        for name in FAULTS:
            if only and name != only:
                continue
            began = time.process_time()
            times = measure(name, int(n_hosts), seed)
            text = " ".join(f"{key} {value:.1f}" for key, value in times.items())
            spent_s = time.process_time() - began
            print(f"{n_hosts} hosts, {name}: {text} (CPU {spent_s:.0f} s)", flush=True)


if __name__ == "__main__":
    fire.Fire(main)
