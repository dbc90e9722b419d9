"""Benchmark check, bundle, load and diff of an object set of the design size."""

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
    """Write an object set with one group of `n_replicas` replicas to set.ini."""
    n_services = -(-n_replicas // REPLICAS_PER_SERVICE)
    parts = [
        "[group g]\nslots = 2\nmax_connections = 50\nconnect_ms = 6\n[department d]\n"
        "[route r]\ngroup = g\ndepartments = d\nclasses = x\n"
    ]
    for number in range(N_CALLERS):
        parts.append(
            f"[caller c{number}]\ndepartment = d\nclasses = x\n"
            f"token_sha256 = {number + 1:064x}\n"
        )
    for number in range(n_services):
        parts.append(f"[service s{number}]\ngroup = g\n")
    for number in range(n_replicas):
        service, place = divmod(number, REPLICAS_PER_SERVICE)
        parts.append(
            f"[replica s{service}-{place}]\nservice = s{service}\n"
            f"address = 10.{place}.{service // 250}.{service % 250 + 1}\nport = 8000\n"
            f"failure_domain = domain-{place}\n"
        )
    shards = " ".join(f"p{number}:s{number}" for number in range(n_services))
    for version in range(1, N_SNAPSHOTS + 1):
        parts.append(
            f"[snapshot v{version}]\ngroup = g\nversion = {version}\n"
            f"shards = {shards}\n"
        )
    directory.joinpath("set.ini").write_text("".join(parts), encoding="utf-8")


def run_timed(name: str, function: Callable[..., Any], *arguments: Any) -> Any:
    """Call a function, print its duration in ms and return its result."""
    start_s = time.perf_counter()
    result = function(*arguments)
    print(f"{name} {(time.perf_counter() - start_s) * 1_000:.1f} ms")
    return result


def main(argv: list[str] | None = None) -> int:
    """Print the duration of each step in each repetition, then the sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--replicas", type=int, default=3_200)
    parser.add_argument("--repeat", type=int, default=3)
    arguments = parser.parse_args(argv)
    with tempfile.TemporaryDirectory() as folder:
        write_set(Path(folder), arguments.replicas)
        for _ in range(arguments.repeat):
            checked = run_timed("check_set", check_set, folder)
            made = run_timed("bundle_set", bundle_set, checked.objects, 1)
            loaded = run_timed("load_bundle", load_bundle, made.manifest, made.values)
            run_timed("diff", diff, checked.objects, loaded)
    sizes = [len(data) for data in made.values.values()]
    print(
        f"{len(loaded.replicas)} replicas, {len(sizes)} values of {min(sizes)} to "
        f"{max(sizes)} bytes, manifest {len(made.manifest)} bytes"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
