"""Object sets and a fake configuration service for tests."""

import hashlib
import json
import random
from collections.abc import Mapping
from typing import Any

from jackdawsill.core import ConfigRead, ConfigReadFailed, ReadConfig
from jackdawsill.membership.tests.network import FakeNetwork, Node
from jackdawsill.objects import ObjectSet
from jackdawsill.spread import MANIFEST_KEY, ConfigSync


def make_set(
    generation: int, n_values: int = 6, size: int = 500, salt: str = ""
) -> tuple[bytes, dict[str, bytes]]:
    """Return a manifest and its values; adjacent generations differ in two values."""
    values = {}
    for i in range(n_values):
        changed = i == generation % n_values
        seed = f"{i}-{generation if changed else ''}-{salt}"
        data = random.Random(seed).randbytes(size)
        values[f"set/{hashlib.sha256(data).hexdigest()}"] = data
    refs = [
        {"key": key, "sha256": key.removeprefix("set/"), "size": len(data)}
        for key, data in values.items()
    ]
    manifest = {"generation": generation, "digest": digest_of(refs), "values": refs}
    return json.dumps(manifest).encode(), values


def digest_of(refs: list[dict[str, Any]]) -> str:
    """Return the digest over all values of a manifest."""
    text = "".join(ref["sha256"] for ref in refs)
    return hashlib.sha256(text.encode()).hexdigest()


def load_bundle(manifest: bytes, values: Mapping[str, bytes]) -> ObjectSet:
    """Check the hashes of an object set as the real loader does."""
    content = json.loads(manifest)
    for ref in content["values"]:
        if hashlib.sha256(values[ref["key"]]).hexdigest() != ref["sha256"]:
            raise ValueError(f"{ref['key']} is corrupt")
    if digest_of(content["values"]) != content["digest"]:
        raise ValueError("digest does not match the values")
    return ObjectSet(content["generation"], content["digest"])


class FakeService:
    """Configuration service of a fake network; `down` and `hanging` inject faults."""

    def __init__(self, network: FakeNetwork) -> None:
        self.network = network
        self.manifest: bytes | None = None
        self.values: dict[str, bytes] = {}
        self.version = 0
        self.waiting: list[Node] = []
        self.down = False
        self.hanging = False  # watches get no answer
        self.n_reads = 0
        network.on_read = self.read

    def publish(self, manifest: bytes, values: Mapping[str, bytes]) -> None:
        """Publish an object set and answer the watches."""
        self.manifest, self.version = manifest, self.version + 1
        self.values.update(values)
        waiting, self.waiting = self.waiting, []
        for node in waiting if not (self.down or self.hanging) else ():
            at = self.network.now + 0.005
            self.network.post(at, node, self.answer(MANIFEST_KEY))

    def answer(self, key: str) -> ConfigRead:
        """Return the answer to a read of a key."""
        value = self.manifest if key == MANIFEST_KEY else self.values.get(key)
        return ConfigRead(key, value, str(self.version))

    def read(self, node: Node, effect: ReadConfig) -> Any:
        """Answer a read, or hold a watch of an unchanged version."""
        self.n_reads += 1
        if self.down:
            return ConfigReadFailed(effect.key, "connection refused")
        if effect.wait_s and (self.hanging or effect.version == str(self.version)):
            self.waiting.append(node)
            return None
        return self.answer(effect.key)


def start_fleet(
    seed: int, n_hosts: int, loss: float = 0.0, n_domains: int = 3
) -> tuple[FakeNetwork, FakeService]:
    """Start hosts and let them join with generation 1."""
    network = FakeNetwork(seed, loss, loss)
    service = FakeService(network)
    service.publish(*make_set(1))
    for i in range(n_hosts):
        add_host(network, f"h{i}", f"d{i % n_domains}")
    network.run(8.0)
    return network, service


def add_host(network: FakeNetwork, address: str, domain: str) -> Node:
    """Start a host with a `ConfigSync`."""
    return network.add(address, domain, ConfigSync(load_bundle))


def config_sync_of(node: Node) -> ConfigSync:
    """Return the `ConfigSync` of a host."""
    return node.state.component(ConfigSync)


def all_at(network: FakeNetwork, generation: int) -> bool:
    """Return whether all live hosts accepted a generation."""
    return all(config_sync_of(n).generation_ == generation for n in network.live())
