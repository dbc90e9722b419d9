"""Time the check, bundling, loading and diff of a large object set.

The default number of replicas is the size that the design assumes.
"""

import argparse
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from jackdawsill.objects import bundle_set, check_set, diff, load_bundle

REPLICAS_PER_SERVICE = 3
N_CALLERS = 100
N_SNAPSHOTS = 2


def write_set(directory: Path, n_replicas: int) -> None:
    """Write the file of an object set: one group with the given number of replicas."""
    n_services = -(-n_replicas // REPLICAS_PER_SERVICE)
    sections = [
        "[group g]\nslots = 2\nmax_connections = 50\nconnect_ms = 6\n[department d]\n"
        "[route r]\ngroup = g\ndepartments = d\nclasses = x\n"
    ]
    for number in range(N_CALLERS):
        sections.append(
            f"[caller c{number}]\ndepartment = d\nclasses = x\n"
            f"token_sha256 = {number + 1:064x}\n"
        )
    for number in range(n_services):
        sections.append(f"[service s{number}]\ngroup = g\n")
    for number in range(n_replicas):
        service, index = divmod(number, REPLICAS_PER_SERVICE)
        sections.append(
            f"[replica s{service}-{index}]\nservice = s{service}\n"
            f"address = 10.{index}.{service // 250}.{service % 250 + 1}\nport = 8000\n"
            f"failure_domain = domain-{index}\n"
        )
    shards = " ".join(f"p{number}:s{number}" for number in range(n_services))
    for version in range(1, N_SNAPSHOTS + 1):
        sections.append(
            f"[snapshot v{version}]\ngroup = g\nversion = {version}\n"
            f"shards = {shards}\n"
        )
    directory.joinpath("set.ini").write_text("".join(sections), encoding="utf-8")


def time_call(name: str, function: Callable[..., Any], *arguments: Any) -> Any:
    """Call a function, print the duration in ms and return the result."""
    start_s = time.perf_counter()
    result = function(*arguments)
    print(f"{name} {(time.perf_counter() - start_s) * 1_000:.1f} ms")
    return result


def main(argv: list[str] | None = None) -> int:
    """Print one line for each step and repetition, then the sizes of the bundle."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--replicas", type=int, default=3_200)
    parser.add_argument("--repeat", type=int, default=3)
    arguments = parser.parse_args(argv)
    with tempfile.TemporaryDirectory() as folder:
        write_set(Path(folder), arguments.replicas)
        for _ in range(arguments.repeat):
            checked_set = time_call("check_set", check_set, folder)
            bundle = time_call("bundle_set", bundle_set, checked_set.objects, 1)
            loaded = time_call(
                "load_bundle", load_bundle, bundle.manifest, bundle.values
            )
            time_call("diff", diff, checked_set.objects, loaded)
    sizes = [len(data) for data in bundle.values.values()]
    print(
        f"{len(loaded.replicas)} replicas, {len(sizes)} values of {min(sizes)} to "
        f"{max(sizes)} bytes, manifest {len(bundle.manifest)} bytes"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
