"""Conditions under which a starting host may serve."""

from collections.abc import Collection

# With answers from some peers only, a host serves after this time.
JOIN_TIMEOUT_S = 5.0
# Without any answer from a peer, a host serves after this time.
ISOLATED_JOIN_TIMEOUT_S = 30.0
N_JOIN_DOMAINS = 2  # failure domains from which peers must answer


class JoinState:
    """Track from which failure domains peers have answered a starting host.

    `isolated_` means that the host joined without an answer from any peer although
    the host list names others or was not read.
    """

    __slots__ = (
        "answered_domains_",
        "isolated_",
        "joined_",
        "listed_domains_",
        "started_at_",
    )

    def __init__(self) -> None:
        self.started_at_: float | None = None
        self.answered_domains_: set[str] = set()  # of peers that answered
        self.listed_domains_: frozenset[str] | None = None  # None: list not read
        self.joined_ = False
        self.isolated_ = False

    def set_listed_domains(self, domains: Collection[str]) -> None:
        """Record the failure domains of the other hosts on the host list."""
        self.listed_domains_ = frozenset(domains)

    def ready_to_serve(
        self, service_tried: bool, higher_offered: bool, now: float
    ) -> bool:
        """Return whether the host may serve its accepted set.

        `service_tried` means that the configuration service answered or failed;
        `higher_offered` means that a source offers a higher generation.
        """
        if self.joined_:
            return True
        if self.started_at_ is None:
            return False
        waited_s = now - self.started_at_
        if waited_s >= ISOLATED_JOIN_TIMEOUT_S:
            return True
        if higher_offered:
            return False
        if self.answered_domains_:
            # Until the list is read, `n_needed` is 0 and only the timeout applies.
            n_needed = min(N_JOIN_DOMAINS, len(self.listed_domains_ or ()))
            enough_answers = n_needed and len(self.answered_domains_) >= n_needed
            return bool(enough_answers and service_tried) or waited_s >= JOIN_TIMEOUT_S
        # No peer answered. Until the list is read, other hosts may exist.
        return self.listed_domains_ == frozenset() and service_tried
