"""Accepted configuration: routes by host name and path prefix."""

import random

from jackdawsill.forwarding._model import (
    CallerLimits,
    ForwardRequest,
    ForwardRoute,
    RouteSet,
)

# Connection limit of a replica whose service does not state how many it accepts.
DEFAULT_CONNECTIONS_MAX = 16
# A host starts at a random position below this in the round robin. 100 positions cover
# the whole cycle of weights that are multiples of 0.01.
N_SKIPPED_MAX = 100


class RouteCatalog:
    """Hold the newest configuration read by this process; older ones are ignored.

    Callers of this host have been served by other hosts with version `shown_version_`,
    so nothing may be handled by an older one.
    """

    __slots__ = ("by_host_", "read_at_", "routes_", "shown_version_", "weights_")

    def __init__(self) -> None:
        self.routes_: RouteSet | None = None
        self.read_at_ = 0.0
        self.shown_version_ = 0
        self.by_host_: dict[bytes, list[ForwardRoute]] = {}
        # Route name -> service -> current weight in the smooth weighted round robin.
        self.weights_: dict[str, dict[str, float]] = {}

    @property
    def version(self) -> int:
        """Return the accepted version, or 0 if no configuration has been read."""
        return 0 if self.routes_ is None else self.routes_.version

    @property
    def required_version(self) -> int:
        """Return the version by which other hosts must handle this host's calls."""
        return max(self.version, self.shown_version_)

    @property
    def is_behind(self) -> bool:
        """Tell whether this host lacks a version that others have shown for it."""
        return self.version < self.shown_version_

    @property
    def limits(self) -> CallerLimits:
        """Return the limits for callers, or the defaults before the first version."""
        return CallerLimits() if self.routes_ is None else self.routes_.limits

    def accept(self, routes: RouteSet, now: float) -> bool:
        """Accept the configuration if it is newer; return whether it was accepted."""
        if self.routes_ is not None and routes.version <= self.routes_.version:
            return False
        by_host: dict[bytes, list[ForwardRoute]] = {}
        for route in routes.routes:
            by_host.setdefault(route.host, []).append(route)
        for entries in by_host.values():
            entries.sort(key=lambda route: len(route.prefix), reverse=True)
        self.routes_ = routes
        self.read_at_ = now
        self.by_host_ = by_host
        self.weights_ = {}
        return True

    def find(self, req: ForwardRequest) -> ForwardRoute | None:
        """Return the route of the host name with the longest prefix of the path."""
        path = req.path
        for route in self.by_host_.get(req.host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def next_service(self, route: ForwardRoute, rng: random.Random) -> str:
        """Return the service of the next call by smooth weighted round robin.

        Each host starts at a random position, so that the shares hold even if each
        of many hosts gets only a few calls.
        """
        if len(route.services) == 1:
            return route.services[0].service
        if route.name not in self.weights_:
            self.weights_[route.name] = {}
            for _ in range(rng.randrange(N_SKIPPED_MAX)):
                self._pick_service(route)
        return self._pick_service(route)

    def _pick_service(self, route: ForwardRoute) -> str:
        services = route.services
        weights = self.weights_[route.name]
        total = 0.0
        best = services[0].service
        for entry in services:
            weights[entry.service] = weights.get(entry.service, 0.0) + entry.weight
            total += entry.weight
            if weights[entry.service] > weights.get(best, 0.0):
                best = entry.service
        weights[best] -= total
        return best

    def n_connections_max(self, service: str) -> int:
        """Return how many connections of all hosts a replica of the service accepts."""
        if self.routes_ is None:
            return DEFAULT_CONNECTIONS_MAX
        return self.routes_.n_connections_max.get(service, DEFAULT_CONNECTIONS_MAX)
