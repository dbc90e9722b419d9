"""Let hosts find one another, and notice the loss of one.

python -m examples.embedding.membership
"""

from examples.embedding._network import Network
from jackdawsill.membership import MemberTable

NAMES = ("a", "b", "c", "d", "e")


def views(network: Network) -> dict[str, list[str]]:
    """Return the hosts that each host holds live."""
    return {
        state.name: sorted(m.name for m in state.component(MemberTable).live_members())
        for state in network.hosts.values()
    }


def main() -> tuple[dict[str, list[str]], dict[str, list[str]]]:
    """Return the views after the start and after the silent loss of a host."""
    network = Network()
    for i, name in enumerate(NAMES):
        network.add(name, f"d{i % 3}")
    network.run(5.0)
    before = views(network)
    network.stop("e")
    network.run(6.0)
    after = views(network)
    print("before", before)
    print("after", after)
    return before, after


if __name__ == "__main__":
    main()
