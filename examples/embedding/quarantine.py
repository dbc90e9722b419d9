"""Refuse requests that crash backend servers.

python -m examples.embedding.quarantine
"""

from jackdawsill.quarantine import Quarantine, Verdict, request_fingerprint


def main() -> list[Verdict]:
    """Return the verdicts on a request that crashes replicas and on a concurrent one.

    Both are suspected at the first crash, as either may be its cause. Then the
    canary of one succeeds, which clears it, and that of the other crashes.
    """
    quarantine = Quarantine()
    poison = request_fingerprint("find", b'{"text": "x", "limit": 1}')
    # The order of keys does not matter: the fingerprint is that of the sorted body.
    assert poison == request_fingerprint("find", b'{"limit":1,"text":"x"}')
    other_request = request_fingerprint("find", b'{"text":"y"}')
    verdicts = [quarantine.check(poison, 1.0)]
    quarantine.on_crash("proofs-1-0", (poison, other_request), 2.0)
    verdicts.append(quarantine.check(other_request, 2.1))
    # Both are now tested as canaries: a single sub-request, alone on its replica.
    quarantine.on_success(other_request, 2.2)
    quarantine.on_crash("proofs-1-1", (poison,), 3.0)
    verdicts += [quarantine.check(other_request, 3.1), quarantine.check(poison, 3.1)]
    print([str(verdict) for verdict in verdicts])
    return verdicts


if __name__ == "__main__":
    main()
