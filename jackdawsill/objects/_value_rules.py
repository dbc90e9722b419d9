"""Rules on single objects."""

import hashlib
import ipaddress
import re
from dataclasses import dataclass
from typing import Any

from jackdawsill.objects._draft import Draft
from jackdawsill.objects._errors import (
    BadHeader,
    NotAnIpAddress,
    OutOfRange,
    RepeatedEntry,
)
from jackdawsill.objects._kinds import KINDS
from jackdawsill.objects._read import NAME_PATTERN, NAME_SYNTAX
from jackdawsill.objects._rules import rule

MAX_PORT = 65_535
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 1_000_000
MAX_CONNECT_MS = 60_000
MAX_DEADLINE_MS = 600_000
MAX_WEIGHT = 1_000_000

_TOKEN = re.compile(r"[0-9a-f]{64}")
_EMPTY_TOKEN = hashlib.sha256(b"").hexdigest()


@dataclass(slots=True, frozen=True)
class Range:
    """Bounds of a number; `excludes_low` makes the lower bound exclusive."""

    low: float
    high: float
    excludes_low: bool = False

    def contains(self, value: float) -> bool:
        """Tell whether a value is in the range; NaN never is."""
        return self.low <= value <= self.high and not (
            self.excludes_low and value == self.low
        )

    def __str__(self) -> str:
        low = f"above {self.low:g}" if self.excludes_low else f"from {self.low:g}"
        return f"{low} to {self.high:.12g}"


FRACTION = Range(0, 1)
TARGET = Range(0, 1, excludes_low=True)

RANGES: dict[str, dict[str, Range]] = {
    "department": {"weight": Range(0, MAX_WEIGHT, excludes_low=True)},
    "caller": {"extra_load": FRACTION},
    "group": {
        "slots": Range(1, MAX_SLOTS),
        "max_connections": Range(1, MAX_CONNECTIONS),
        "connect_ms": Range(0, MAX_CONNECT_MS),
    },
    "replica": {"port": Range(1, MAX_PORT)},
    "snapshot": {"version": Range(1, 2**63 - 1)},
    "route": {"deadline_ms": Range(1, MAX_DEADLINE_MS)},
    "objective": {
        "latency_ms": Range(1, MAX_DEADLINE_MS),
        "latency_target": TARGET,
        "coverage_target": TARGET,
        "extra_load_target": FRACTION,
    },
}

# Keys that hold lists of names. References among them are checked in `_set_rules`.
LISTS: dict[str, tuple[str, ...]] = {
    "caller": ("classes",),
    "route": ("departments", "callers", "classes"),
}


@rule
def check_ranges(draft: Draft) -> None:
    """Report numbers outside their range."""
    for kind, ranges in RANGES.items():
        specs = KINDS[kind].keys
        for key, bounds in ranges.items():
            attribute = specs[key].attribute
            for item in draft.objects(kind):
                value = getattr(item, attribute)
                if not bounds.contains(value):
                    message = f"{key} must be {bounds}, not {value}"
                    draft.add(OutOfRange, message, kind, item.name, key)


@rule
def check_names(draft: Draft) -> None:
    """Report names that must be escaped in a URL, header or file name."""
    for kind in KINDS:
        for name in draft.tables[kind]:
            if not NAME_PATTERN.fullmatch(name):
                message = f"name must be {NAME_SYNTAX}"
                draft.add(BadHeader, message, kind, name)
    for replica in draft.objects("replica"):
        _check_name(draft, "replica", replica, "failure_domain", replica.failure_domain)
    for snapshot in draft.objects("snapshot"):
        for shard in snapshot.shards:
            _check_name(draft, "snapshot", snapshot, "shards", shard.name)


def _check_name(draft: Draft, kind: str, item: Any, key: str, value: str) -> None:
    if not NAME_PATTERN.fullmatch(value):
        message = f"{key}: {value!r} must be {NAME_SYNTAX}"
        draft.add(OutOfRange, message, kind, item.name, key)


@rule
def check_lists(draft: Draft) -> None:
    """Report repeated entries, empty lists of classes and bad class names."""
    for kind, keys in LISTS.items():
        for item in draft.objects(kind):
            for key in keys:
                entries = getattr(item, key)
                for entry in sorted({e for e in entries if entries.count(e) > 1}):
                    message = f"{key}: {entry!r} is listed more than once"
                    draft.add(RepeatedEntry, message, kind, item.name, key)
            if not item.classes:
                message = "classes must name at least one class"
                draft.add(OutOfRange, message, kind, item.name, "classes")
            for entry in item.classes:
                _check_name(draft, kind, item, "classes", entry)


@rule
def check_tokens(draft: Draft) -> None:
    """Report malformed token digests, and the digest of the empty token."""
    key = "token_sha256"
    for caller in draft.objects("caller"):
        if not _TOKEN.fullmatch(caller.token_sha256):
            message = f"{key} must be 64 hexadecimal digits"
            draft.add(OutOfRange, message, "caller", caller.name, key)
        elif caller.token_sha256 == _EMPTY_TOKEN:
            message = f"{key} is the digest of an empty token"
            draft.add(OutOfRange, message, "caller", caller.name, key)


@rule
def check_addresses(draft: Draft) -> None:
    """Report host names, and unspecified or multicast addresses."""
    for replica in draft.objects("replica"):
        try:
            address = ipaddress.ip_address(replica.address)
        except ValueError:
            message = f"address must be an IP address, not {replica.address!r}"
        else:
            if not (address.is_unspecified or address.is_multicast):
                continue
            message = f"address {replica.address} is unspecified or multicast"
        draft.add(NotAnIpAddress, message, "replica", replica.name, "address")
