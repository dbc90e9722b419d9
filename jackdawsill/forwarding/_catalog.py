"""The configuration in force: routes by host name and path prefix."""

import random

from jackdawsill.forwarding._model import (
    CallerLimits,
    ForwardRequest,
    ForwardRoute,
    RouteSet,
)

# Connections kept to a replica whose service does not state how many it accepts.
DEFAULT_CONNECTIONS_MAX = 16
# Turns of which a random number is left out at first; it covers the period of weights
# in steps of one in a hundred.
N_TURNS_SKIPPED = 100


class RouteCatalog:
    """Hold the newest configuration seen by this process; it never goes back."""

    __slots__ = ("by_host_", "read_at_", "routes_", "turns_")

    def __init__(self) -> None:
        self.routes_: RouteSet | None = None
        self.read_at_ = 0.0
        self.by_host_: dict[bytes, list[ForwardRoute]] = {}
        # Route name -> service -> accumulated weight, for smooth weighted turns.
        self.turns_: dict[str, dict[str, float]] = {}

    @property
    def version(self) -> int:
        """Return the version in force, or 0 before the first one."""
        return 0 if self.routes_ is None else self.routes_.version

    @property
    def limits(self) -> CallerLimits:
        """Return the bounds on callers in force."""
        return CallerLimits() if self.routes_ is None else self.routes_.limits

    def accept(self, routes: RouteSet, now: float) -> bool:
        """Put a newer version in force; return whether it was newer."""
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
        self.turns_ = {}
        return True

    def find(self, req: ForwardRequest) -> ForwardRoute | None:
        """Return the route with the longest prefix that begins the path."""
        path = req.path
        for route in self.by_host_.get(req.host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def next_service(self, route: ForwardRoute, rng: random.Random) -> str:
        """Return the service of the next call by smooth weighted round robin.

        Each host begins at a random turn, so that the shares also hold over many
        hosts with few calls.
        """
        if len(route.services) == 1:
            return route.services[0].service
        if route.name not in self.turns_:
            self.turns_[route.name] = {}
            for _ in range(rng.randrange(N_TURNS_SKIPPED)):
                self._turn(route)
        return self._turn(route)

    def _turn(self, route: ForwardRoute) -> str:
        services = route.services
        turns = self.turns_[route.name]
        total = 0.0
        best = services[0].service
        for entry in services:
            turns[entry.service] = turns.get(entry.service, 0.0) + entry.weight
            total += entry.weight
            if turns[entry.service] > turns.get(best, 0.0):
                best = entry.service
        turns[best] -= total
        return best

    def n_connections_max(self, service: str) -> int:
        """Return the connections that each replica of a service accepts."""
        if self.routes_ is None:
            return DEFAULT_CONNECTIONS_MAX
        return self.routes_.n_connections_max.get(service, DEFAULT_CONNECTIONS_MAX)
