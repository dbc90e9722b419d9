"""Kinds of objects, their keys, and the conversion of INI text to typed values."""

import math
import re
from collections.abc import Callable
from dataclasses import MISSING, dataclass, fields
from typing import Any

from jackdawsill.core import Policy
from jackdawsill.ini import suggest
from jackdawsill.objects._model import (
    Caller,
    Department,
    Group,
    Objective,
    Replica,
    Route,
    Service,
    Shard,
    Snapshot,
)

_INTEGER = re.compile(r"[+-]?[0-9]{1,18}")
_TRUE = frozenset({"true", "yes", "on", "1"})
_FALSE = frozenset({"false", "no", "off", "0"})


@dataclass(slots=True, frozen=True)
class Converter:
    """Turn INI text into a value; `placeholder` stands for a bad value."""

    convert: Callable[[str], Any]
    placeholder: Any


def _text(value: str) -> str:
    if not value:
        raise ValueError("is empty")
    return value


def _integer(value: str) -> int:
    if not _INTEGER.fullmatch(value):
        raise ValueError(f"{value!r} is not an integer")
    return int(value)


def _number(value: str) -> float:
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise ValueError(f"{value!r} is not a number")
    return number


def _boolean(value: str) -> bool:
    lowered = value.lower()
    if lowered not in _TRUE and lowered not in _FALSE:
        raise ValueError(f"{value!r} is not true or false")
    return lowered in _TRUE


def _names(value: str) -> tuple[str, ...]:
    return tuple(value.replace(",", " ").split())


def _policy(value: str) -> Policy:
    try:
        return Policy(value.lower())
    except ValueError:
        message = f"{value!r} is not latency or coverage{suggest(value, Policy)}"
        raise ValueError(message) from None


def _shards(value: str) -> tuple[Shard, ...]:
    shards = []
    for pair in _names(value):
        shard, colon, service = pair.partition(":")
        if not shard or not colon or not service:
            raise ValueError(f"{pair!r} is not shard:service")
        shards.append(Shard(shard, service))
    return tuple(shards)


def _digest(value: str) -> str:
    return value.lower()


TEXT = Converter(_text, "")
INTEGER = Converter(_integer, 0)
NUMBER = Converter(_number, 0.0)
BOOLEAN = Converter(_boolean, False)
NAMES = Converter(_names, ())
POLICY = Converter(_policy, Policy.LATENCY)
SHARDS = Converter(_shards, ())
DIGEST = Converter(_digest, "")


@dataclass(slots=True, frozen=True)
class KeySpec:
    """One key of a kind and the attribute that it sets."""

    key: str
    converter: Converter
    attribute: str
    required: bool


@dataclass(slots=True, frozen=True)
class KindSpec:
    """One kind of object; `table` is its attribute of `ObjectSet`."""

    kind: str
    table: str
    object_type: type
    keys: dict[str, KeySpec]


# Attributes whose key in the files has another name.
ATTRIBUTES = {"slots": "n_slots"}

# Without classes a caller would see nothing and a route would serve nothing, so
# these keys are required although the model has a default.
REQUIRED = frozenset({("caller", "classes"), ("route", "classes")})


def _kind(object_type: type, **converters: Converter) -> KindSpec:
    """Describe a kind; keys without a default in the model are required."""
    kind = object_type.__name__.lower()
    no_default = {f.name for f in fields(object_type) if f.default is MISSING}
    keys = {}
    for key, converter in converters.items():
        attribute = ATTRIBUTES.get(key, key)
        required = attribute in no_default or (kind, key) in REQUIRED
        keys[key] = KeySpec(key, converter, attribute, required)
    return KindSpec(kind, f"{kind}s", object_type, keys)


KINDS: dict[str, KindSpec] = {
    spec.kind: spec
    for spec in (
        _kind(Department, weight=NUMBER),
        _kind(
            Caller,
            department=TEXT,
            token_sha256=DIGEST,
            policy=POLICY,
            extra_load=NUMBER,
            classes=NAMES,
        ),
        _kind(Group, slots=INTEGER, max_connections=INTEGER, connect_ms=NUMBER),
        _kind(Service, group=TEXT),
        _kind(
            Replica,
            service=TEXT,
            address=TEXT,
            port=INTEGER,
            failure_domain=TEXT,
            leaving=BOOLEAN,
        ),
        _kind(Snapshot, group=TEXT, version=INTEGER, shards=SHARDS),
        _kind(
            Route,
            group=TEXT,
            departments=NAMES,
            callers=NAMES,
            repeatable=BOOLEAN,
            deadline_ms=INTEGER,
            classes=NAMES,
        ),
        _kind(
            Objective,
            route=TEXT,
            latency_ms=INTEGER,
            latency_target=NUMBER,
            coverage_target=NUMBER,
            extra_load_target=NUMBER,
        ),
    )
}
