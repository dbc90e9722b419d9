"""Manifest of a published set."""

import re
from dataclasses import dataclass

import msgspec

from jackdawsill.spread._errors import InvalidManifest

MANIFEST_KEY = "manifest"
MAX_VALUE_BYTES = 1 << 20  # limit of the configuration service
MAX_VALUES = 4096
# A host keeps the accepted values for its peers and pulls the next set beside them,
# within 32 MB for all control state.
MAX_SET_BYTES = 12 << 20
SHA256 = re.compile("[0-9a-f]{64}")


@dataclass(slots=True, frozen=True)
class ValueRef:
    """A value that a manifest names; `size` is in bytes."""

    key: str
    sha256: str
    size: int


@dataclass(slots=True, frozen=True)
class Manifest:
    """What a set consists of."""

    generation: int
    digest: str
    values: tuple[ValueRef, ...]


def parse_manifest(data: bytes) -> Manifest:
    """Read a manifest; raise `InvalidManifest` if it is not acceptable."""
    if len(data) > MAX_VALUE_BYTES:
        raise InvalidManifest(f"the manifest has {len(data)} bytes")
    try:
        manifest = msgspec.json.decode(data, type=Manifest)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise InvalidManifest(f"the manifest cannot be read: {exc}") from exc
    if not 0 < manifest.generation < 1 << 62:
        raise InvalidManifest(f"generation {manifest.generation} is out of range")
    if not manifest.digest:
        raise InvalidManifest("the digest is empty")
    if len(manifest.values) > MAX_VALUES:
        raise InvalidManifest(f"the manifest names {len(manifest.values)} values")
    keys = {value.key for value in manifest.values}
    if len(keys) < len(manifest.values) or keys & {MANIFEST_KEY, ""}:
        raise InvalidManifest("a key is empty, reserved or named twice")
    for value in manifest.values:
        if not 0 < value.size <= MAX_VALUE_BYTES:
            raise InvalidManifest(f"value {value.key} has {value.size} bytes")
        if SHA256.fullmatch(value.sha256) is None:
            raise InvalidManifest(f"value {value.key} has no SHA-256 hash")
    if sum(value.size for value in manifest.values) > MAX_SET_BYTES:
        raise InvalidManifest("the set is too large")
    return manifest
