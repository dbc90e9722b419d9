"""Settings of searches by Hypothesis."""

from hypothesis import HealthCheck, Phase, settings

# The loading of other tests must not change what a search finds, so its examples are
# fixed and kept in no database, and no example has a time limit.
_ALL = {
    "deadline": None,
    "derandomize": True,
    "database": None,
    "print_blob": False,
    "report_multiple_bugs": False,
    "suppress_health_check": list(HealthCheck),
}


def search(n_examples: int, n_steps: int = 50) -> settings:
    """Return the settings of a search that shrinks what it finds."""
    return settings(
        max_examples=n_examples,
        stateful_step_count=n_steps,
        phases=(Phase.generate, Phase.shrink),
        **_ALL,
    )


def search_broken(n_examples: int, n_steps: int = 50) -> settings:
    """Return the settings of a search in broken code, which ends at a finding."""
    return settings(
        max_examples=n_examples,
        stateful_step_count=n_steps,
        phases=(Phase.generate,),
        **_ALL,
    )
