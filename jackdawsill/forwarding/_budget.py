"""Budget for attempts beyond the first of each call, per service."""

from jackdawsill.forwarding._fleet import FleetSize
from jackdawsill.forwarding._windows import SecondCounter

# Part of the budget that hedges leave for retries: a hedge saves time, a retry an
# answer.
HEDGE_FRACTION = 0.75
# Budgets below this are too small to be divided.
DIVISIBLE_MIN = 4.0


class RetryBudget:
    """Bound this host's extra attempts by its own calls to each service.

    Every host spends only what its own calls earn and its share of the fixed part, so
    the bound holds for the sum of all hosts however callers are distributed.
    """

    __slots__ = ("extras_", "fleet", "ratio", "requests_", "slack", "window_s")

    def __init__(
        self, ratio: float, slack: float, window_s: float, fleet: FleetSize
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.fleet = fleet
        self.window_s = window_s
        self.requests_: dict[str, SecondCounter] = {}
        self.extras_: dict[str, SecondCounter] = {}

    def on_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._counter(self.requests_, service).add(now)

    def allowance(self, service: str, now: float) -> float:
        """Return the extra attempts that the window allows in all."""
        requests = self._counter(self.requests_, service).total(now)
        return self.ratio * requests + self.slack / self.fleet.divisor(now)

    def left(self, service: str, now: float) -> float:
        """Return the extra attempts that may still be sent now."""
        spent = self._counter(self.extras_, service).total(now)
        return self.allowance(service, now) - spent

    def try_spend(self, service: str, now: float, *, is_hedge: bool) -> bool:
        """Take one extra attempt from the budget; return whether it was there."""
        needed = 1.0
        allowance = self.allowance(service, now)
        if is_hedge and allowance >= DIVISIBLE_MIN:
            needed += (1 - HEDGE_FRACTION) * allowance
        if self.left(service, now) < needed:
            return False
        self._counter(self.extras_, service).add(now)
        return True

    def _counter(
        self, counters: dict[str, SecondCounter], service: str
    ) -> SecondCounter:
        counter = counters.get(service)
        if counter is None:
            counter = counters[service] = SecondCounter(self.window_s)
        return counter
