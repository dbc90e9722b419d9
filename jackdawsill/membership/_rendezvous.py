"""Rendezvous hashing: hosts that know the same members make the same choice."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import TypeVar

import xxhash

T = TypeVar("T")


def rendezvous_score(key: str, member: str) -> int:
    """Return the score of `member` for `key`; the lowest score is chosen first."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def choose_across_domains(
    candidates: Iterable[T],
    n_chosen: int,
    score: Callable[[T], int],
    domain: Callable[[T], str],
) -> list[T]:
    """Return the candidates with the lowest scores, taking domains in turn."""
    by_domain: dict[str, list[T]] = defaultdict(list)
    for candidate in sorted(candidates, key=score):
        by_domain[domain(candidate)].append(candidate)
    # Sorting by the place within the domain first chooses the best candidate of each
    # domain before a second one of any domain.
    ranked = [
        (place, score(candidate), candidate)
        for in_domain in by_domain.values()
        for place, candidate in enumerate(in_domain[:n_chosen])
    ]
    ranked.sort(key=lambda item: item[:2])
    return [candidate for _, _, candidate in ranked[:n_chosen]]
