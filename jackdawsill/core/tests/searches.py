"""Hypothesis settings shared by the tests."""

from hypothesis import HealthCheck, Phase, settings

# Searches are reproducible: examples depend on no random seed, no earlier run, no other
# tests and not on the load of the machine.
_COMMON_SETTINGS = {
    "deadline": None,
    "derandomize": True,
    "database": None,
    "print_blob": False,
    "report_multiple_bugs": False,
    "suppress_health_check": list(HealthCheck),
}


def search(n_examples: int, n_steps: int = 50) -> settings:
    """Return settings for a search that shrinks failing examples."""
    return settings(
        max_examples=n_examples,
        stateful_step_count=n_steps,
        phases=(Phase.generate, Phase.shrink),
        **_COMMON_SETTINGS,
    )


def search_broken(n_examples: int, n_steps: int = 50) -> settings:
    """Return settings for a search in deliberately broken code, without shrinking."""
    return settings(
        max_examples=n_examples,
        stateful_step_count=n_steps,
        phases=(Phase.generate,),
        **_COMMON_SETTINGS,
    )
