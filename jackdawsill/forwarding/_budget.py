"""Budget for hedges and retries, per service."""

from jackdawsill.forwarding._fleet import FleetSize
from jackdawsill.forwarding._windows import SlidingCounter

# Fraction of the budget that hedges may use. The rest is reserved for retries, because
# a hedge saves only time, but a retry saves an answer.
HEDGE_FRACTION = 0.75
# Below this allowance, hedges may use the whole budget, because it is too small to be
# divided.
RESERVE_ALLOWANCE_MIN = 4.0


class RetryBudget:
    """Bound this host's extra attempts by its own calls to each service.

    A window of `window_s` seconds allows `ratio` extra attempts per call and this
    host's share of `slack`, a fixed number for the whole fleet. Each host counts only
    its own calls, so the bound holds for the sum of all hosts however callers are
    distributed.
    """

    __slots__ = ("extra_attempts_", "fleet", "ratio", "requests_", "slack", "window_s")

    def __init__(
        self, ratio: float, slack: float, window_s: float, fleet: FleetSize
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.fleet = fleet
        self.window_s = window_s
        self.requests_: dict[str, SlidingCounter] = {}
        self.extra_attempts_: dict[str, SlidingCounter] = {}

    def on_request(self, service: str, now: float) -> None:
        """Count a call, or a part of a call, to a service."""
        self._counter(self.requests_, service).add(now)

    def allowance(self, service: str, now: float) -> float:
        """Return how many extra attempts the current window allows."""
        requests = self._counter(self.requests_, service).total(now)
        return self.ratio * requests + self.slack / self.fleet.divisor(now)

    def remaining(self, service: str, now: float) -> float:
        """Return how many extra attempts may still be sent now."""
        spent = self._counter(self.extra_attempts_, service).total(now)
        return self.allowance(service, now) - spent

    def try_spend(self, service: str, now: float, *, is_hedge: bool) -> bool:
        """Spend one extra attempt and return True, or return False if none is left."""
        needed = 1.0
        allowance = self.allowance(service, now)
        if is_hedge and allowance >= RESERVE_ALLOWANCE_MIN:
            needed += (1 - HEDGE_FRACTION) * allowance
        if self.remaining(service, now) < needed:
            return False
        self._counter(self.extra_attempts_, service).add(now)
        return True

    def _counter(
        self, counters: dict[str, SlidingCounter], service: str
    ) -> SlidingCounter:
        counter = counters.get(service)
        if counter is None:
            counter = counters[service] = SlidingCounter(self.window_s)
        return counter
