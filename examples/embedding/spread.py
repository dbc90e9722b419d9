"""Distribute object sets to hosts of which only one reads the service.

python -m examples.embedding.spread
"""

from dataclasses import replace

from examples.embedding._network import Network
from examples.embedding._objects import make_objects
from jackdawsill.objects import Bundle, bundle_set, load_bundle
from jackdawsill.spread import MANIFEST_KEY, ConfigSync

NAMES = ("a", "b", "c")


def generations(network: Network) -> dict[str, int]:
    """Return the accepted generation of each host."""
    return {
        state.name: state.component(ConfigSync).generation_
        for state in network.hosts.values()
    }


def main() -> list[dict[str, int]]:
    """Return the generations after the start, after a new set, and after an old one.

    In the end the service offers the first set again, which hosts ignore.
    """
    objects = make_objects()
    bundles = [bundle_set(replace(objects, generation=g), g) for g in (1, 2)]
    network = Network()
    served: list[Bundle] = [bundles[0]]

    def read(address: str, key: str) -> bytes | None:
        # After the start, other hosts than a always read the first manifest, so they
        # can get a newer set only from a.
        if len(served) > 1 and address != "a:7000":
            return served[0].manifest if key == MANIFEST_KEY else None
        return served[-1].manifest if key == MANIFEST_KEY else served[-1].values[key]

    network.read_config = read
    for i, name in enumerate(NAMES):
        network.add(name, f"d{i}", ConfigSync(load_bundle))
    result = []
    for bundle in (bundles[0], bundles[1], bundles[0]):
        served.append(bundle)
        network.run(10.0)
        result.append(generations(network))
    print(result)
    return result


if __name__ == "__main__":
    main()
