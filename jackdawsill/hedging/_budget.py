"""Token bucket of each caller for hedges and retries."""

from dataclasses import dataclass

from jackdawsill.objects import Caller

# Capacity of a bucket; a burst of stragglers may use all tokens at once.
BURST_TOKENS = 50.0
# Tokens that hedges must leave for retries, because a hedge saves only time, but
# without a retry a shard is missing.
RETRY_RESERVE_TOKENS = 10.0


@dataclass(slots=True)
class _Tokens:
    """Tokens of one caller; one token pays for one extra sub-request."""

    general: float = 0.0
    # Second bucket, used only for missing shards of coverage-first callers.
    for_missing: float = 0.0


class ExtraLoadBudget:
    """Bound hedges and retries by a token bucket for each caller.

    Tokens are not earned over time: each needed sub-request, one per shard of a query,
    earns `Caller.extra_load` tokens.
    """

    __slots__ = ("tokens_",)

    def __init__(self) -> None:
        self.tokens_: dict[str, _Tokens] = {}

    def earn(self, caller: Caller, n: int) -> None:
        """Add the tokens earned by `n` needed sub-requests to both buckets."""
        tokens = self._tokens(caller)
        earned = n * caller.extra_load
        tokens.general = min(tokens.general + earned, BURST_TOKENS)
        tokens.for_missing = min(tokens.for_missing + earned, BURST_TOKENS)

    def try_spend(
        self,
        caller: Caller,
        now: float,
        n: int = 1,
        *,
        for_missing: bool = False,
        debt: float = 0.0,
        reserve: float = 0.0,
    ) -> bool:
        """Spend `n` tokens and return True, or return False if there are too few.

        `for_missing` pays from the second bucket if the general one has too few tokens
        and the second has enough. `debt` is how far the general bucket may go below
        zero; then no hedge is sent until the debt is earned back. `reserve` is the
        number of tokens that must stay in the bucket. `now` is not used.
        """
        tokens = self._tokens(caller)
        if for_missing and tokens.general - reserve < n <= tokens.for_missing:
            tokens.for_missing -= n
            return True
        if tokens.general - n < reserve - debt:
            return False
        tokens.general -= n
        return True

    def prune(self, known: dict) -> None:
        """Remove callers that are not in `known`, the callers of the accepted set."""
        for name in [n for n in self.tokens_ if n not in known]:
            del self.tokens_[name]

    def _tokens(self, caller: Caller) -> _Tokens:
        tokens = self.tokens_.get(caller.name)
        if tokens is None:
            tokens = self.tokens_[caller.name] = _Tokens()
        return tokens
