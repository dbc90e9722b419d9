"""Hypothesis settings shared by the tests."""

from hypothesis import HealthCheck, Phase, settings

# Searches are deterministic: examples are derandomized, no database is used and no
# example has a time limit, so that other tests cannot change the findings.
_COMMON_SETTINGS = {
    "deadline": None,
    "derandomize": True,
    "database": None,
    "print_blob": False,
    "report_multiple_bugs": False,
    "suppress_health_check": list(HealthCheck),
}


def search(n_examples: int, n_steps: int = 50) -> settings:
    """Return settings for a search that shrinks its findings."""
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
