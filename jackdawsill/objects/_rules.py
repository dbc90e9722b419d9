"""Registry of the rules that an object set must satisfy."""

from collections.abc import Callable

from jackdawsill.objects._draft import Draft

Rule = Callable[[Draft], None]

RULES: list[Rule] = []


def rule(function: Rule) -> Rule:
    """Register a rule, a function that adds the errors it finds to a draft."""
    RULES.append(function)
    return function
