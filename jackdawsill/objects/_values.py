"""Encoding of an object set as values whose keys are content hashes."""

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

from jackdawsill.objects._errors import BundleTooLarge
from jackdawsill.objects._kinds import KINDS
from jackdawsill.objects._model import (
    Caller,
    Department,
    Group,
    Objective,
    Replica,
    Route,
    Service,
    Snapshot,
)

# The configuration service holds values of up to 1 MB.
MAX_VALUE_BYTES = 1_000_000

# A value ends after an object whose name hashes to 0 modulo this number (content-
# defined chunking). The change of one object then changes one value, and hosts pull
# only that one. A starting host reads few values: 27 of 1 to 125 KB for 3,200 replicas.
MEAN_OBJECTS_PER_VALUE = 256

# A value also ends once it exceeds this size. An object may take at most the difference
# to MAX_VALUE_BYTES, so values stay below that limit.
SPLIT_VALUE_BYTES = 500_000

VALUE_PREFIX = "value-"


@dataclass(slots=True)
class ValueBody:
    """Objects of one value by kind."""

    department: list[Department] = field(default_factory=list)
    caller: list[Caller] = field(default_factory=list)
    group: list[Group] = field(default_factory=list)
    service: list[Service] = field(default_factory=list)
    replica: list[Replica] = field(default_factory=list)
    snapshot: list[Snapshot] = field(default_factory=list)
    route: list[Route] = field(default_factory=list)
    objective: list[Objective] = field(default_factory=list)


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(ValueBody)


@dataclass(slots=True, frozen=True)
class ConfigValue:
    """One configuration value; its key is made of its SHA-256."""

    sha256: str
    data: bytes

    @property
    def key(self) -> str:
        """Return the key under which the value is published."""
        return VALUE_PREFIX + self.sha256


def _split_into_bodies(tables: dict[str, dict[str, Any]]) -> Iterator[ValueBody]:
    """Yield the bodies of values; their boundaries depend on names, not positions."""
    body, n_bytes = ValueBody(), 0
    for kind in KINDS:
        for name, item in sorted(tables[kind].items()):
            size = len(_ENCODER.encode(item))
            if size > MAX_VALUE_BYTES - SPLIT_VALUE_BYTES:
                raise BundleTooLarge(f"{kind} {name} takes {size} bytes")
            getattr(body, kind).append(item)
            n_bytes += size
            is_boundary = (
                xxhash.xxh64_intdigest(f"{kind} {name}".encode())
                % MEAN_OBJECTS_PER_VALUE
                == 0
            )
            if is_boundary or n_bytes > SPLIT_VALUE_BYTES:
                yield body
                body, n_bytes = ValueBody(), 0
    if n_bytes:
        yield body


def encode_values(tables: dict[str, dict[str, Any]]) -> list[ConfigValue]:
    """Return the values of a set; they do not depend on the order of objects."""
    values = []
    for body in _split_into_bodies(tables):
        data = _ENCODER.encode(body)
        values.append(ConfigValue(hashlib.sha256(data).hexdigest(), data))
    return values


def decode_value(data: bytes) -> ValueBody:
    """Return the objects of a value; raise `msgspec.DecodeError` if it has none."""
    return _DECODER.decode(data)


def overall_digest(values: Iterable[Any]) -> str:
    """Return the digest over the `sha256` of all values in order."""
    joined = "\n".join(value.sha256 for value in values)
    return hashlib.sha256(joined.encode()).hexdigest()
