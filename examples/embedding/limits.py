"""Share connection caps among hosts, and admit queries by predicted wait.

python -m examples.embedding.limits
"""

from examples.embedding._objects import make_objects
from jackdawsill.core import LoadReport
from jackdawsill.limits import AdmissionQueue, ConcurrencyLimits, ConnectionShares

N_HOSTS = 100


def main() -> dict[str, object]:
    """Return a fleet's connections, the limit after a shed, and admission decisions.

    The numbers are those of one replica with 2 slots and a cap of 50 connections.
    """
    objects = make_objects(max_connections=50)
    hosts = [f"host-{i}" for i in range(N_HOSTS)]
    n_connections = 0
    for host in hosts:
        shares = ConnectionShares(host)
        shares.set_objects(objects)
        shares.set_hosts(hosts)
        n_connections += shares.share("proofs-1-0", 0.0)

    limits = ConcurrencyLimits()
    limits.on_shed("proofs-1-0", 2, now=1.0)
    after_shed = limits.limit("proofs-1-0", 2)
    for i in range(20):
        limits.on_answer("proofs-1-0", 1, 2, LoadReport(1, 2), now=2.0 + i)

    queue = AdmissionQueue()
    queue.set_objects(objects)
    now = 10.0
    decisions = [
        queue.submit("proofs", "design", query_id, now + 0.34, now)[0]
        for query_id in range(1_000)
    ]
    result = {
        "connections": n_connections,
        "limit_after_shed": after_shed,
        "limit_later": limits.limit("proofs-1-0", 2),
        "offers": {
            str(decision): decisions.count(decision) for decision in set(decisions)
        },
    }
    print(result)
    return result


if __name__ == "__main__":
    main()
