"""Choose replicas by their latencies and failures as observed by this host.

python -m examples.embedding.routing
"""

import random
from collections import Counter

from examples.embedding._objects import make_objects
from jackdawsill.core import FailureKind
from jackdawsill.routing import ReplicaTable

N_PICKS = 600


def count_picks(table: ReplicaTable, now: float) -> Counter[str]:
    """Return how often each replica is picked in `N_PICKS` picks."""
    rng, objects = random.Random(1), make_objects()
    names: Counter[str] = Counter()
    for _ in range(N_PICKS):
        replica = table.pick("proofs-1", (), objects, now, rng)
        if replica is not None:
            names[replica.name] += 1
    return names


def main() -> dict[str, Counter[str]]:
    """Return the picks with a slow, then a crashed, then a leaving replica."""
    table = ReplicaTable(failure_domain="d0")
    now = 100.0
    for name, took_s in (("proofs-1-0", 0.01), ("proofs-1-1", 0.2)):
        for _ in range(50):
            table.on_sent(name, now)
            table.on_answer(name, took_s, None, now + took_s)
            table.on_ended(name)
    result = {"slow": count_picks(table, now)}
    table.on_failure("proofs-1-0", FailureKind.CRASH, now)
    result["crashed"] = count_picks(table, now)
    table.mark_leaving("proofs-1-2", now)
    result["leaving"] = count_picks(table, now)
    for name, counts in result.items():
        print(name, dict(counts))
    return result


if __name__ == "__main__":
    main()
