"""Discover the other hosts, and detect the loss of one.

python -m examples.embedding.membership
"""

from examples.embedding._network import Network
from jackdawsill.membership import MemberTable

NAMES = ("a", "b", "c", "d", "e")


def live_by_host(network: Network) -> dict[str, list[str]]:
    """Return the names of the live hosts as each host knows them."""
    return {
        state.name: sorted(m.name for m in state.component(MemberTable).live_members())
        for state in network.hosts.values()
    }


def main() -> tuple[dict[str, list[str]], dict[str, list[str]]]:
    """Return the live hosts by host, after the start and after a host crashed."""
    network = Network()
    for i, name in enumerate(NAMES):
        network.add(name, f"d{i % 3}")
    network.run(5.0)
    before = live_by_host(network)
    network.crash("e")
    network.run(6.0)
    after = live_by_host(network)
    print("before", before)
    print("after", after)
    return before, after


if __name__ == "__main__":
    main()
