"""Registry of the rules that a whole set must satisfy."""

from collections.abc import Callable

from jackdawsill.objects._draft import Draft

Rule = Callable[[Draft], None]

RULES: list[Rule] = []


def rule(function: Rule) -> Rule:
    """Register a rule; it adds the errors that it finds to the draft."""
    RULES.append(function)
    return function
