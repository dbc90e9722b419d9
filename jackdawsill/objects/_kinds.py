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
    """Conversion of INI text to a value; a bad value becomes `placeholder`.

    `convert` raises ValueError with the reason.
    """

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


def _words(value: str) -> tuple[str, ...]:
    return tuple(value.replace(",", " ").split())


def _policy(value: str) -> Policy:
    try:
        return Policy(value.lower())
    except ValueError:
        message = f"{value!r} is not latency or coverage{suggest(value, Policy)}"
        raise ValueError(message) from None


def _shards(value: str) -> tuple[Shard, ...]:
    shards = []
    for pair in _words(value):
        shard, colon, service = pair.partition(":")
        if not shard or not colon or not service:
            raise ValueError(f"{pair!r} is not shard:service")
        shards.append(Shard(shard, service))
    return tuple(shards)


def _lowercase(value: str) -> str:
    return value.lower()


TEXT = Converter(_text, "")
INTEGER = Converter(_integer, 0)
NUMBER = Converter(_number, 0.0)
BOOLEAN = Converter(_boolean, False)
NAMES = Converter(_words, ())
POLICY = Converter(_policy, Policy.LATENCY)
SHARDS = Converter(_shards, ())
DIGEST = Converter(_lowercase, "")


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


# Keys of the files whose attribute has another name.
ATTRIBUTE_BY_KEY = {"slots": "n_slots"}

# Required although the model has a default, because a caller without classes would see
# nothing and a route without classes would serve nothing.
REQUIRED_KEYS = frozenset({("caller", "classes"), ("route", "classes")})


def _make_kind(object_type: type, **converters: Converter) -> KindSpec:
    """Return the description of a kind; keys without a default are required."""
    kind = object_type.__name__.lower()
    no_default = {f.name for f in fields(object_type) if f.default is MISSING}
    keys = {}
    for key, converter in converters.items():
        attribute = ATTRIBUTE_BY_KEY.get(key, key)
        required = attribute in no_default or (kind, key) in REQUIRED_KEYS
        keys[key] = KeySpec(key, converter, attribute, required)
    return KindSpec(kind, f"{kind}s", object_type, keys)


KINDS: dict[str, KindSpec] = {
    spec.kind: spec
    for spec in (
        _make_kind(Department, weight=NUMBER),
        _make_kind(
            Caller,
            department=TEXT,
            token_sha256=DIGEST,
            policy=POLICY,
            extra_load=NUMBER,
            classes=NAMES,
        ),
        _make_kind(Group, slots=INTEGER, max_connections=INTEGER, connect_ms=NUMBER),
        _make_kind(Service, group=TEXT),
        _make_kind(
            Replica,
            service=TEXT,
            address=TEXT,
            port=INTEGER,
            failure_domain=TEXT,
            leaving=BOOLEAN,
        ),
        _make_kind(Snapshot, group=TEXT, version=INTEGER, shards=SHARDS),
        _make_kind(
            Route,
            group=TEXT,
            departments=NAMES,
            callers=NAMES,
            repeatable=BOOLEAN,
            deadline_ms=INTEGER,
            classes=NAMES,
        ),
        _make_kind(
            Objective,
            route=TEXT,
            latency_ms=INTEGER,
            latency_target=NUMBER,
            coverage_target=NUMBER,
            extra_load_target=NUMBER,
        ),
    )
}
