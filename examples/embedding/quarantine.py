"""Refuse requests that crash backend servers.

python -m examples.embedding.quarantine
"""

from jackdawsill.quarantine import Quarantine, Verdict, request_fingerprint


def main() -> list[Verdict]:
    """Return the verdicts on a poison request and on one that ran beside it."""
    part = Quarantine()
    poison = request_fingerprint("find", b'{"text": "x", "limit": 1}')
    # Keys may come in any order; the fingerprint is that of the sorted body.
    assert poison == request_fingerprint("find", b'{"limit":1,"text":"x"}')
    innocent = request_fingerprint("find", b'{"text":"y"}')
    verdicts = [part.check(poison, 1.0)]
    part.on_crash("proofs-1-0", (poison, innocent), 2.0)
    verdicts.append(part.check(innocent, 2.1))
    # Both now run as canaries, one sub-request alone on a replica.
    part.on_success(innocent, 2.2)
    part.on_crash("proofs-1-1", (poison,), 3.0)
    verdicts += [part.check(innocent, 3.1), part.check(poison, 3.1)]
    print([str(verdict) for verdict in verdicts])
    return verdicts


if __name__ == "__main__":
    main()
