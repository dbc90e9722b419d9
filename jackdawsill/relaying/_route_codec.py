"""Compressed form in which hosts send each other the routes, or their changes."""

import zlib

import msgspec

from jackdawsill.forwarding import CallerLimits, ForwardRoute, RouteSet

# The names of routes are random, but fields, host names and services repeat, so the
# fastest level reduces a configuration to a tenth.
COMPRESSION_LEVEL = 1
# Limit of the decompressed size, four times that of a configuration in the store.
MAX_ROUTES_BYTES = 4 * 1024 * 1024


class RoutesInvalid(ValueError):
    """Received routes cannot be decompressed or decoded."""


class RouteChange(msgspec.Struct, frozen=True):
    """Difference of a configuration from an older one, or from an empty one."""

    written: tuple[ForwardRoute, ...]  # new and changed routes
    removed: tuple[str, ...]
    n_connections_max: dict[str, int]
    limits: CallerLimits


class PackedRoutes(msgspec.Struct, frozen=True):
    """A compressed `RouteChange` from version `base` to `version`.

    With `base` 0 it contains all routes.
    """

    base: int
    version: int
    data: bytes


def pack_routes(base: RouteSet | None, routes: RouteSet) -> PackedRoutes:
    """Pack the difference from `base`; all routes if there is no base."""
    if base is None or not (_has_unique_routes(base) and _has_unique_routes(routes)):
        base = None
        change = RouteChange(routes.routes, (), routes.n_connections_max, routes.limits)
    else:
        known = {route.name: route for route in base.routes}
        names = {route.name for route in routes.routes}
        change = RouteChange(
            tuple(r for r in routes.routes if known.get(r.name) != r),
            tuple(name for name in known if name not in names),
            routes.n_connections_max,
            routes.limits,
        )
    data = zlib.compress(msgspec.msgpack.encode(change), COMPRESSION_LEVEL)
    return PackedRoutes(0 if base is None else base.version, routes.version, data)


def unpack_routes(packed: PackedRoutes, known: RouteSet | None) -> RouteSet | None:
    """Return the configuration, or None if `known` is not the base of the change.

    Raise RoutesInvalid if the data are malformed or too large.
    """
    if packed.base and (known is None or known.version != packed.base):
        return None
    change = _decode(packed.data)
    routes = change.written
    if packed.base:
        merged = {route.name: route for route in known.routes}
        for name in change.removed:
            merged.pop(name, None)
        merged.update((route.name, route) for route in change.written)
        routes = tuple(merged.values())
    return RouteSet(packed.version, routes, change.n_connections_max, change.limits)


def _decode(data: bytes) -> RouteChange:
    try:
        decompressor = zlib.decompressobj()
        plain = decompressor.decompress(data, MAX_ROUTES_BYTES)
        if not decompressor.eof:
            raise RoutesInvalid(f"incomplete, or more than {MAX_ROUTES_BYTES} bytes")
        return msgspec.msgpack.decode(plain, type=RouteChange)
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise RoutesInvalid(str(exc)) from exc


def _has_unique_routes(routes: RouteSet) -> bool:
    """Return whether each route can be found by its name, whatever its position."""
    names = {route.name for route in routes.routes}
    paths = {(route.host, route.prefix) for route in routes.routes}
    return len(names) == len(routes.routes) == len(paths)
