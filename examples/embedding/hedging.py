"""Send a hedge when a request takes longer than the typical latency.

python -m examples.embedding.hedging
"""

import random

from examples.embedding._objects import make_objects
from jackdawsill.hedging import RETRY_RESERVE_TOKENS, ExtraLoadBudget, HedgePolicy

N_REQUESTS = 2_000
SLOW_FRACTION = 0.03
SLOW_S = 0.3


def latency_s(rng: random.Random) -> float:
    """Return the latency of one simulated attempt: `SLOW_FRACTION` are slow."""
    return SLOW_S if rng.random() < SLOW_FRACTION else rng.uniform(0.008, 0.012)


def main() -> dict[str, float]:
    """Run requests sequentially; return the fractions of slow ones and of hedges."""
    rng = random.Random(1)
    caller = make_objects().callers["ana"]
    policy, budget = HedgePolicy(), ExtraLoadBudget()
    now, n_hedges, n_slow = 100.0, 0, 0
    for _ in range(N_REQUESTS):
        # Each request lets its caller send `extra_load` further attempts.
        budget.earn(caller, 1)
        took_s = latency_s(rng)
        delay_s = policy.delay_s("proofs-1", now)
        # Hedges leave the reserve in the budget for retries.
        if took_s > delay_s and budget.try_spend(
            caller, now, reserve=RETRY_RESERVE_TOKENS
        ):
            n_hedges += 1
            took_s = min(took_s, delay_s + latency_s(rng))
        policy.on_answer("proofs-1", took_s, now)
        n_slow += took_s >= SLOW_S
        now += took_s
    result = {"slow": n_slow / N_REQUESTS, "extra_load": n_hedges / N_REQUESTS}
    print(result)
    return result


if __name__ == "__main__":
    main()
