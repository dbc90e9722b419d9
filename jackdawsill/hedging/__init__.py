"""Hedging: when to send a second sub-request, and the budget of extra load."""

from jackdawsill.hedging import _handlers, _views  # noqa: F401
from jackdawsill.hedging._budget import (
    BURST_TOKENS,
    RETRY_RESERVE_TOKENS,
    ExtraLoadBudget,
)
from jackdawsill.hedging._policy import (
    DEFAULT_DELAY_S,
    HEDGE_QUANTILE,
    N_SAMPLES_MIN,
    HedgePolicy,
)

__all__ = [
    "BURST_TOKENS",
    "DEFAULT_DELAY_S",
    "HEDGE_QUANTILE",
    "N_SAMPLES_MIN",
    "RETRY_RESERVE_TOKENS",
    "ExtraLoadBudget",
    "HedgePolicy",
]
