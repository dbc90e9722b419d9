"""Adaptive limit of the sub-requests in flight on each replica."""

from dataclasses import dataclass

from jackdawsill.core import LoadReport

# Factors of the limit after a shed sub-request, and after a report of queued ones.
DECREASE_ON_SHED = 0.7
DECREASE_ON_QUEUEING = 0.9
MIN_LIMIT = 1.0
# Upper bound of the limit per slot. More queued sub-requests do not raise a replica's
# throughput.
MAX_LIMIT_PER_SLOT = 4.0
# Answers of one overload arrive together and cause a single decrease.
DECREASE_COOLDOWN_S = 0.1


@dataclass(slots=True)
class _Limit:
    """Limit of one replica, and when it was last decreased."""

    value: float
    decreased_at: float = float("-inf")


class ConcurrencyLimits:
    """Limit concurrency by additive increase and multiplicative decrease."""

    __slots__ = ("limits_",)

    def __init__(self) -> None:
        # Replicas at their initial limit, the number of slots, have no entry.
        self.limits_: dict[str, _Limit] = {}

    def limit(self, replica: str, n_slots: int) -> float:
        """Return the number of sub-requests that may be in flight."""
        limit = self.limits_.get(replica)
        return n_slots if limit is None else limit.value

    def has_capacity(self, replica: str, in_flight: int, n_slots: int) -> bool:
        """Tell whether one more sub-request may be sent to a replica."""
        limit = self.limits_.get(replica)
        return in_flight < n_slots if limit is None else in_flight + 1 <= limit.value

    def on_answer(
        self,
        replica: str,
        in_flight: int,
        n_slots: int,
        load: LoadReport | None,
        now: float,
    ) -> None:
        """Raise a limit that was reached; lower it if the replica queues requests.

        `in_flight` includes the sub-request that was answered.
        """
        if load is not None and load.running > load.n_slots:
            self._decrease(replica, n_slots, DECREASE_ON_QUEUEING, now)
            return
        limit = self.limits_.get(replica)
        value = n_slots if limit is None else limit.value
        if in_flight + 1 <= value or value >= MAX_LIMIT_PER_SLOT * n_slots:
            return
        if limit is None:
            limit = self.limits_[replica] = _Limit(float(n_slots))
        limit.value += 1 / limit.value

    def on_shed(self, replica: str, n_slots: int, now: float) -> None:
        """Lower the limit of a replica that shed a sub-request."""
        self._decrease(replica, n_slots, DECREASE_ON_SHED, now)

    def prune(self, known: dict) -> None:
        """Remove replicas that are not in `known`, the replicas of the accepted set."""
        for name in [n for n in self.limits_ if n not in known]:
            del self.limits_[name]

    def _decrease(self, replica: str, n_slots: int, factor: float, now: float) -> None:
        limit = self.limits_.get(replica)
        if limit is None:
            limit = self.limits_[replica] = _Limit(float(n_slots))
        if now - limit.decreased_at < DECREASE_COOLDOWN_S:
            return
        limit.value = max(MIN_LIMIT, limit.value * factor)
        limit.decreased_at = now
