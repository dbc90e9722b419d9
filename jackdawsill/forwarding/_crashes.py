"""Evidence that a request crashes the replicas that run it."""

import zlib
from collections import OrderedDict
from dataclasses import dataclass, field

from jackdawsill.forwarding._model import ForwardRequest

# Crashes of replicas by one request, within EVIDENCE_S, that condemn it.
N_CRASHES_TO_CONDEMN = 3
EVIDENCE_S = 60.0
CONDEMNED_S = 600.0
MAX_KEPT = 2048


@dataclass(slots=True)
class _Evidence:
    """Crashes of replicas while a request ran on them."""

    crashes: list[str] = field(default_factory=list)
    last_at: float = 0.0
    condemned_until: float = 0.0


def fingerprint(req: ForwardRequest) -> int:
    """Return a number that is equal for the same method, path and body."""
    value = zlib.crc32(req.method + b" " + req.host + req.target)
    return zlib.crc32(req.body, value)


class CrashEvidence:
    """Condemn requests that crashed several replicas, and only those.

    A lost connection alone says little: the evidence is a replica that refuses new
    connections right after it lost one with the request.
    """

    __slots__ = ("evidence_",)

    def __init__(self) -> None:
        self.evidence_: OrderedDict[int, _Evidence] = OrderedDict()

    def on_crash(self, key: int, replica: str, now: float) -> bool:
        """Record a crashed replica; return whether it condemns the request."""
        evidence = self.evidence_.setdefault(key, _Evidence())
        if now - evidence.last_at > EVIDENCE_S:
            evidence.crashes.clear()
        evidence.crashes.append(replica)
        evidence.last_at = now
        self.evidence_.move_to_end(key)
        while len(self.evidence_) > MAX_KEPT:
            self.evidence_.popitem(last=False)
        if len(evidence.crashes) < N_CRASHES_TO_CONDEMN:
            return False
        evidence.condemned_until = now + CONDEMNED_S
        return True

    def on_success(self, key: int) -> None:
        """Forget a request that a replica ran to its end."""
        self.evidence_.pop(key, None)

    def is_condemned(self, key: int, now: float) -> bool:
        """Tell whether a request must not be sent to any replica."""
        evidence = self.evidence_.get(key)
        return evidence is not None and now < evidence.condemned_until
