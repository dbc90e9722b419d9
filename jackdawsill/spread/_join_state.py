"""Joining of a host: when it knows enough to serve."""

from collections.abc import Collection

JOIN_TIMEOUT_S = 5.0
ISOLATED_JOIN_S = 30.0
N_JOIN_DOMAINS = 2


class JoinState:
    """Hold which sources told a starting host their generation."""

    __slots__ = ("domains_", "isolated_", "joined_", "other_domains_", "started_at_")

    def __init__(self) -> None:
        self.started_at_: float | None = None
        self.domains_: set[str] = set()  # failure domains of peers that answered
        self.other_domains_: frozenset[str] | None = None  # None: not listed yet
        self.joined_ = False
        self.isolated_ = False

    def on_list(self, domains: Collection[str]) -> None:
        """Record the failure domains of the other live hosts on the list."""
        self.other_domains_ = frozenset(domains)

    def enough(self, service_asked: bool, pending: bool, now: float) -> bool:
        """Tell whether the host may serve the set that it has accepted.

        `pending` tells that a source offered a higher generation.
        """
        if self.joined_:
            return True
        if self.started_at_ is None:
            return False
        waited_s = now - self.started_at_
        if waited_s >= ISOLATED_JOIN_S:
            return True
        if pending:
            return False
        if self.domains_:
            n_wanted = min(N_JOIN_DOMAINS, len(self.other_domains_ or ()))
            heard_enough = n_wanted and len(self.domains_) >= n_wanted
            return bool(heard_enough and service_asked) or waited_s >= JOIN_TIMEOUT_S
        # No peer answered. Without a list a host waits, for others may exist.
        return self.other_domains_ == frozenset() and service_asked
