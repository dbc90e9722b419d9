"""Budget for attempts beyond the first of each call, per service."""

from jackdawsill.forwarding._windows import SecondCounter

# Hosts that may share the fixed part of the budget: a bound on the fleet within which
# the shares of all hosts together stay below it without any of them being told.
N_SHARING_HOSTS = 32
# Part of the budget that hedges leave for retries: a hedge saves time, a retry an
# answer.
HEDGE_FRACTION = 0.75


class RetryBudget:
    """Bound this host's extra attempts by its own calls to each service.

    Every host spends only what its own calls earn, so the bound holds for the sum of
    all hosts however callers are distributed over them.
    """

    __slots__ = ("extras_", "ratio", "requests_", "slack", "window_s")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack / N_SHARING_HOSTS
        self.window_s = window_s
        self.requests_: dict[str, SecondCounter] = {}
        self.extras_: dict[str, SecondCounter] = {}

    def on_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._counter(self.requests_, service).add(now)

    def allowance(self, service: str, now: float) -> float:
        """Return the extra attempts that the window allows in all."""
        requests = self._counter(self.requests_, service).total(now)
        return self.ratio * requests + self.slack

    def left(self, service: str, now: float) -> float:
        """Return the extra attempts that may still be sent now."""
        spent = self._counter(self.extras_, service).total(now)
        return self.allowance(service, now) - spent

    def try_spend(self, service: str, now: float, *, is_hedge: bool) -> bool:
        """Take one extra attempt from the budget; return whether it was there."""
        needed = 1.0
        if is_hedge:
            needed += (1 - HEDGE_FRACTION) * self.allowance(service, now)
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
