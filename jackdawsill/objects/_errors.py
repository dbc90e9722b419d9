"""Errors of object sets and bundles."""

from jackdawsill.exceptions import JackdawsillError, register_error
from jackdawsill.ini import IniError, IniErrors


@register_error(1100, status=400)
class SetInvalid(IniErrors):
    """An object set has errors; `problems` lists all of them."""


class ObjectProblem(IniError):
    """Base of the errors of one object; `section` is `kind name`."""


@register_error(1101, status=400)
class UnreadableFile(ObjectProblem):
    """A file or one of its lines cannot be read."""


@register_error(1102, status=400)
class BadHeader(ObjectProblem):
    """A section header is not `[kind name]` with a valid name."""


@register_error(1103, status=400)
class UnknownKind(ObjectProblem):
    """A section has an unknown kind."""


@register_error(1104, status=400)
class UnknownKey(ObjectProblem):
    """A key is not known for the kind."""


@register_error(1105, status=400)
class DuplicateKey(ObjectProblem):
    """A key is given twice in one section."""


@register_error(1106, status=400)
class DuplicateObject(ObjectProblem):
    """Two sections have the same kind and name."""


@register_error(1107, status=400)
class MissingKey(ObjectProblem):
    """A required key is absent."""


@register_error(1108, status=400)
class WrongType(ObjectProblem):
    """A value cannot be converted to the type of its key."""


@register_error(1109, status=400)
class OutOfRange(ObjectProblem):
    """A value is outside the range allowed."""


@register_error(1110, status=400)
class DanglingReference(ObjectProblem):
    """An object refers to another one that is not in the set."""


@register_error(1111, status=400)
class NotAnIpAddress(ObjectProblem):
    """A replica's address is not the IP address of one server."""


@register_error(1112, status=400)
class DuplicateToken(ObjectProblem):
    """Two callers have the same token."""


@register_error(1113, status=400)
class DuplicateAddress(ObjectProblem):
    """Two replicas have the same address and port."""


@register_error(1114, status=400)
class ServiceWithoutReplica(ObjectProblem):
    """A service has no replica, or is needed but has only leaving ones."""


@register_error(1115, status=400)
class ForeignService(ObjectProblem):
    """A shard map names a service of another group."""


@register_error(1116, status=400)
class DuplicateShard(ObjectProblem):
    """A shard map names a shard twice."""


@register_error(1117, status=400)
class DuplicateVersion(ObjectProblem):
    """Two snapshots of a group have the same version."""


@register_error(1118, status=400)
class GroupWithoutSnapshot(ObjectProblem):
    """A route's group has no snapshot, so its queries could not be served."""


@register_error(1119, status=400)
class RouteWithoutCallers(ObjectProblem):
    """No caller may query a route."""


@register_error(1120, status=400)
class UnservedClass(ObjectProblem):
    """A caller names a class that no route serves."""


@register_error(1121, status=400)
class NothingVisible(ObjectProblem):
    """A caller or department of a route may see none of the classes it serves."""


@register_error(1122, status=400)
class NoSingleService(ObjectProblem):
    """The group of a not-repeatable route has more than one service or shard."""


@register_error(1123, status=400)
class EmptySet(ObjectProblem):
    """A set has no objects; publishing it would remove every caller."""


@register_error(1124, status=400)
class RepeatedEntry(ObjectProblem):
    """A list names an entry twice."""


@register_error(1125, status=409)
class SnapshotChanged(ObjectProblem):
    """A published snapshot has another group, version or shard map than before."""


@register_error(1150, status=400)
class BundleInvalid(JackdawsillError):
    """A manifest or a value of a bundle is missing, damaged or of another format."""


@register_error(1151, status=400)
class BundleTooLarge(JackdawsillError):
    """An object or manifest exceeds the size of a configuration value."""


@register_error(1152, status=400)
class BadGeneration(JackdawsillError):
    """A generation is not a positive integer."""
