"""Fakes of a backend server, the configuration service and the host list."""

import hashlib
import json
from dataclasses import dataclass, field

from jackdawsill.core import FailureKind, HostEntry, LoadReport
from jackdawsill.objects import ObjectSet, Replica

MANIFEST_KEY = "manifest"


@dataclass(slots=True)
class FakeBackend:
    """Backend server whose behaviour is set by flags.

    `poison` holds the request bodies that crash it, `unservable` the snapshots that it
    declines. A partitioned server receives and sends nothing.
    """

    replica: Replica
    n_slots: int
    latency_s: float = 0.004
    alive: bool = True
    draining: bool = False
    starting: bool = False
    shedding: bool = False
    at_connection_cap: bool = False
    sends_bad_answers: bool = False
    is_partitioned: bool = False
    # If set, answers come from this snapshot instead of the requested one.
    answers_from: str | None = None
    unservable: set[str] = field(default_factory=set)
    poison: set[bytes] = field(default_factory=set)
    n_running: int = 0
    in_flight: dict[int, str] = field(default_factory=dict)

    def refusal(self, snapshot: str) -> FailureKind | None:
        """Return why a sub-request is refused, or None if it is run."""
        if not self.alive:
            return FailureKind.CONNECT
        if self.at_connection_cap:
            return FailureKind.CAP
        if self.draining:
            return FailureKind.DRAINING
        if self.starting:
            return FailureKind.STARTING
        if self.shedding:
            return FailureKind.SHED
        if snapshot in self.unservable:
            return FailureKind.DECLINED
        return None

    def load(self) -> LoadReport:
        """Return the load report that is sent with an answer."""
        return LoadReport(self.n_running, self.n_slots)


class FakeConfigService:
    """Configuration service with versioned manifests.

    While `down`, reads of hosts fail. If `stale_generation` is set, reads return the
    newest manifest up to that generation.
    """

    __slots__ = ("down", "manifests_", "sets_", "stale_generation", "values_")

    def __init__(self) -> None:
        self.down = False
        self.stale_generation: int | None = None
        self.values_: dict[str, bytes] = {}
        self.manifests_: list[bytes] = []
        self.sets_: dict[bytes, ObjectSet] = {}

    def publish(self, objects: ObjectSet) -> None:
        """Store a set as one value and its manifest, the manifest last."""
        kinds = (objects.callers, objects.replicas, objects.routes, objects.snapshots)
        lines = [str(objects.generation), *(repr(sorted(k.items())) for k in kinds)]
        value = "\n".join(lines).encode()
        sha256 = hashlib.sha256(value).hexdigest()
        entry = {"key": sha256, "sha256": sha256, "size": len(value)}
        manifest = json.dumps(
            {
                "generation": objects.generation,
                "digest": objects.digest,
                "values": [entry],
            }
        ).encode()
        self.values_[sha256] = value
        self.manifests_.append(manifest)
        self.sets_[manifest] = objects

    def read(self, key: str) -> tuple[bytes | None, str]:
        """Return the value of a key, None if it has none, with its version."""
        if key != MANIFEST_KEY:
            return self.values_.get(key), key
        if not self.manifests_:
            return None, ""
        manifest = self.manifests_[-1]
        if self.stale_generation is not None:
            up_to_stale = [
                m
                for m in self.manifests_
                if json.loads(m)["generation"] <= self.stale_generation
            ]
            manifest = up_to_stale[-1] if up_to_stale else None
        if manifest is None:
            return None, ""
        return manifest, hashlib.sha256(manifest).hexdigest()

    def load(self, manifest: bytes, values: dict[str, bytes]) -> ObjectSet:
        """Check the hashes of a set that a host read and return its objects."""
        for entry in json.loads(manifest)["values"]:
            if hashlib.sha256(values[entry["key"]]).hexdigest() != entry["sha256"]:
                raise ValueError("a value does not match its hash")
        return self.sets_[manifest]


@dataclass(slots=True)
class FakeHostList:
    """Host list of the platform; readers get its state of `lag_s` ago."""

    lag_s: float = 3.0
    changes: list[tuple[float, tuple[HostEntry, ...]]] = field(default_factory=list)

    def update(self, entries: tuple[HostEntry, ...], now: float) -> None:
        """Record a new list."""
        self.changes.append((now, entries))

    def read(self, now: float) -> tuple[HostEntry, ...]:
        """Return the list as it was `lag_s` ago, or the first list before that."""
        visible: tuple[HostEntry, ...] = self.changes[0][1] if self.changes else ()
        for changed_at, entries in self.changes:
            if changed_at <= now - self.lag_s:
                visible = entries
        return visible
