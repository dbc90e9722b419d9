"""Routes, replicas, requests and answers of forwarded calls."""

import msgspec

Headers = tuple[tuple[bytes, bytes], ...]


class WeightedService(msgspec.Struct, frozen=True):
    """A service that gets a weighted share of a route's calls."""

    service: str
    weight: float


class ForwardRoute(msgspec.Struct, frozen=True):
    """Services that answer the calls of a host name and path prefix.

    A fan-out route names its `shards`, one service each; any other route names the
    services that share its calls in `services`.
    """

    name: str
    host: bytes
    prefix: bytes
    idempotent: bool
    timeout_s: float
    objective_s: float
    rank: int  # priority; 0 is the most urgent
    n_attempts_max: int  # replicas that may run one call, or one part of a fan-out
    services: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top_k: int = 0  # records in the merged answer of a fan-out
    min_coverage: float = 0.0  # fraction of the parts that a success requires

    @property
    def is_fanout(self) -> bool:
        """Tell whether a call is sent to one replica of each shard."""
        return bool(self.shards)


class CallerLimits(msgspec.Struct, frozen=True):
    """Bounds on the size and the duration of callers' requests."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 256 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteSet(msgspec.Struct, frozen=True):
    """All routes of one version of the configuration."""

    version: int
    routes: tuple[ForwardRoute, ...]
    n_connections_max: dict[str, int]  # service -> connections a replica accepts
    limits: CallerLimits = CallerLimits()


class StorePosition(msgspec.Struct, frozen=True, order=True):
    """Position in the history of the platform's store; later positions are greater.

    When the store returns from a copy of its data, its era rises and it gives revisions
    again that it had given before.
    """

    era: int  # 0 if the store states none
    revision: int


# Before all positions at which something was written.
STORE_START = StorePosition(0, 0)


def is_overtaken(
    answer: StorePosition, asked_from: StorePosition | None, known: StorePosition | None
) -> bool:
    """Tell whether other hosts have told of all that an answer of the store holds.

    It was asked for at the position `asked_from`, and `known` is the present one. If
    they are equal, a lower answer shows that the store has gone back.
    """
    return known is not None and known != asked_from and answer <= known


class ReplicaEntry(msgspec.Struct, frozen=True):
    """A replica as the platform's service discovery publishes it."""

    name: str
    service: str
    address: str  # host:port
    failure_domain: str
    n_slots: int
    draining: bool = False
    cold_s: float = 0.0  # time for which it is slow after its start
    # Number of the run of the process under this name: later ones are greater. Empty if
    # not stated.
    incarnation: str = ""
    sequence: int = 0  # of what this run of the process has written, 0 if not stated


class ForwardRequest(msgspec.Struct, frozen=True):
    """A caller's complete request; `headers` exclude hop-by-hop headers."""

    request_id: bytes
    method: bytes
    target: bytes
    host: bytes
    headers: Headers = ()
    body: bytes = b""
    deadline_s: float | None = None  # how long the caller waits; None if not stated

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b"?")[0]


class ReplicaAnswer(msgspec.Struct, frozen=True):
    """Complete answer of a replica that ran the request."""

    status: int
    headers: Headers = ()
    body: bytes = b""
    signature: bytes | None = None  # replica's proof that the answer is its own
    limit_per_s: float | None = None  # rate that the replica takes from all hosts

    @property
    def succeeded(self) -> bool:
        """Tell whether the answer is a signed success."""
        return 200 <= self.status < 300 and self.signature is not None


class MergedAnswer(msgspec.Struct, frozen=True):
    """Merged answer of a fan-out; `signatures` identify the merged parts."""

    signatures: tuple[bytes, ...]
    n_missing: int
    body: bytes
