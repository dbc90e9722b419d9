"""Crash evidence about requests, and the fingerprints refused because of it."""

from enum import StrEnum

import xxhash


class Verdict(StrEnum):
    """Tell how a request may be run."""

    CLEAR = "clear"
    SUSPECT = "suspect"  # one sub-request at a time, alone on its replica
    CONDEMNED = "condemned"  # refused


def fingerprint(route: str, body: bytes) -> str:
    """Return the hash of a route and a normalised request body."""
    return xxhash.xxh3_128_hexdigest(route.encode() + b"\x00" + body)


class Quarantine:
    """Decide which fingerprints are suspected or condemned."""

    __slots__ = ()

    def check(self, fingerprint: str, now: float) -> Verdict:
        """Return how a request with this fingerprint may be run."""
        return Verdict.CLEAR

    def on_crash(
        self, replica: str, fingerprints: tuple[str, ...], now: float
    ) -> tuple[str, ...]:
        """Record a crash; return the fingerprints condemned by it."""
        return ()

    def on_success(self, fingerprint: str, now: float) -> None:
        """Record that a sub-request with this fingerprint was answered."""
