"""Round-trip times from this host to the failure domains of replicas."""

# Assumed one-way network delays, until the opening of a connection was timed.
SAME_REGION_DELAY_S = 0.001
OTHER_REGION_DELAY_S = 0.01


class RoundTrips:
    """Estimate round-trip times by the shortest time in which a connection opened."""

    __slots__ = ("failure_domain", "regions", "shortest_")

    def __init__(self, failure_domain: str, regions: dict[str, str]) -> None:
        self.failure_domain = failure_domain
        self.regions = regions
        self.shortest_: dict[str, float] = {}  # by failure domain

    def record(self, domain: str, elapsed_s: float) -> None:
        """Record how long a connection to a failure domain took to open."""
        shortest = self.shortest_.get(domain)
        if shortest is None or elapsed_s < shortest:
            self.shortest_[domain] = elapsed_s

    def expected_s(self, domain: str) -> float:
        """Return the expected round-trip time to a failure domain."""
        measured = self.shortest_.get(domain)
        if measured is not None:
            return measured
        if domain == self.failure_domain:
            return 0.0
        region = self.regions.get(domain, domain)
        own = self.regions.get(self.failure_domain, self.failure_domain)
        return 2 * (SAME_REGION_DELAY_S if region == own else OTHER_REGION_DELAY_S)
