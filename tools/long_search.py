"""Run the search over orders of faults in a fleet with more examples than CI."""

import argparse
import random

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from jackdawsill.relaying.tests.test_search import Relaying

N_STEPS = 40


def main() -> None:
    """Search, and raise with the shortest failing example if there is one."""
    parser = argparse.ArgumentParser(prog="long_search", description=__doc__)
    parser.add_argument("--examples", type=int, default=1500)
    parser.add_argument("--seed", type=int, default=None, help="default: random")
    args = parser.parse_args()
    number = random.randrange(1_000_000) if args.seed is None else args.seed
    print(f"seed {number}, {args.examples} examples", flush=True)
    search = settings(
        max_examples=args.examples,
        stateful_step_count=N_STEPS,
        phases=(Phase.generate, Phase.shrink),
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(seed(number)(Relaying), settings=search)
    print("no finding")


if __name__ == "__main__":
    main()
