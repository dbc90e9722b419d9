"""Budget of each caller for sub-requests beyond one per shard."""

from dataclasses import dataclass

from jackdawsill.objects import Caller

# Tokens kept at most; a burst of stragglers may use them at once.
BURST_TOKENS = 50.0
# Tokens that hedges leave for retries: a hedge saves time, a retry a shard.
HEDGE_RESERVE_TOKENS = 10.0


@dataclass(slots=True)
class _Tokens:
    """Tokens of one caller; a token pays for one extra sub-request."""

    usual: float = 0.0
    # Second half of a coverage-first caller's budget, for missing shards only.
    missing: float = 0.0


class ExtraLoadBudget:
    """Bound hedges and retries by a token bucket for each caller."""

    __slots__ = ("tokens_",)

    def __init__(self) -> None:
        self.tokens_: dict[str, _Tokens] = {}

    def earn(self, caller: Caller, n: int) -> None:
        """Add the tokens earned by `n` needed sub-requests."""
        tokens = self._tokens(caller)
        earned = n * caller.extra_load
        tokens.usual = min(tokens.usual + earned, BURST_TOKENS)
        tokens.missing = min(tokens.missing + earned, BURST_TOKENS)

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

        `for_missing` opens the second budget of a coverage-first caller. `debt`
        lets a bucket go below zero; hedges wait until the debt is earned back.
        `reserve` leaves that many tokens in the bucket.
        """
        tokens = self._tokens(caller)
        if for_missing and tokens.usual - reserve < n <= tokens.missing:
            tokens.missing -= n
            return True
        if tokens.usual - n < reserve - debt:
            return False
        tokens.usual -= n
        return True

    def prune(self, known: dict) -> None:
        """Forget callers that the newest set does not contain."""
        for name in [n for n in self.tokens_ if n not in known]:
            del self.tokens_[name]

    def _tokens(self, caller: Caller) -> _Tokens:
        tokens = self.tokens_.get(caller.name)
        if tokens is None:
            tokens = self.tokens_[caller.name] = _Tokens()
        return tokens
