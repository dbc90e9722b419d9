"""Bounds of what a configuration may state.

One that is out of bounds is not accepted, and the configuration before it stays.
"""

from jackdawsill.forwarding._model import ForwardRoute, RouteSet

# Largest number that JSON writers of all kinds represent exactly.
MAX_NUMBER = 2**53


def check_routes(routes: RouteSet) -> None:
    """Raise ValueError if calls cannot be handled by a configuration."""
    if not 1 <= routes.version <= MAX_NUMBER:
        raise ValueError(f"version is not 1 to {MAX_NUMBER}")
    for service, n_connections in routes.n_connections_max.items():
        if not 0 <= n_connections <= MAX_NUMBER:
            raise ValueError(f"service {service[:50]!r}: connections out of bounds")
    for route in routes.routes:
        try:
            _check_route(route)
        except ValueError as exc:
            raise ValueError(f"route {route.name[:50]!r}: {exc}") from None
    limits = routes.limits
    for number in (limits.max_header_bytes, limits.max_body_bytes):
        if not 0 <= number <= MAX_NUMBER:
            raise ValueError("limits of callers are out of bounds")


def _check_route(route: ForwardRoute) -> None:
    if not route.services and not route.shards:
        raise ValueError("no service")
    if len(set(route.shards)) < len(route.shards):
        raise ValueError("a shard stands twice")
    weights = [service.weight for service in route.services]
    if weights and not (min(weights) >= 0 and 0 < sum(weights) <= MAX_NUMBER):
        raise ValueError("weights are negative, or all of them 0")
    if not 0 <= route.min_coverage <= 1:
        raise ValueError("the minimum coverage is no fraction")
    if not -MAX_NUMBER <= route.rank <= MAX_NUMBER:
        raise ValueError("the priority is out of bounds")
    for number in (route.n_attempts_max, route.top_k):
        if not 0 <= number <= MAX_NUMBER:
            raise ValueError("a number is out of bounds")
