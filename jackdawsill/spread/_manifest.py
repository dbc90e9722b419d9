"""Manifest of a published object set."""

import re
from dataclasses import dataclass

import msgspec

from jackdawsill.spread._errors import InvalidManifest

MANIFEST_KEY = "manifest"
MAX_VALUE_BYTES = 1 << 20  # limit of the configuration service
MAX_VALUES = 4096
# Limit of all values of an object set. A host holds the values of two sets during a
# pull, because it serves those of the accepted set to peers, and all control state must
# fit in 32 MB.
MAX_SET_BYTES = 12 << 20
SHA256 = re.compile("[0-9a-f]{64}")


@dataclass(slots=True, frozen=True)
class ValueRef:
    """Key, hash and size in bytes of a value in a manifest."""

    key: str
    sha256: str
    size: int


@dataclass(slots=True, frozen=True)
class Manifest:
    """Generation, digest and values of an object set."""

    generation: int
    digest: str
    values: tuple[ValueRef, ...]


def parse_manifest(data: bytes) -> Manifest:
    """Decode a manifest; raise `InvalidManifest` if it is malformed or over a limit."""
    if len(data) > MAX_VALUE_BYTES:
        raise InvalidManifest(f"manifest has {len(data)} bytes, over the limit")
    try:
        manifest = msgspec.json.decode(data, type=Manifest)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise InvalidManifest(f"manifest cannot be decoded: {exc}") from exc
    if not 0 < manifest.generation < 1 << 62:
        raise InvalidManifest(f"generation {manifest.generation} is out of range")
    if not manifest.digest:
        raise InvalidManifest("digest is empty")
    if len(manifest.values) > MAX_VALUES:
        raise InvalidManifest(
            f"manifest has {len(manifest.values)} values, over the limit"
        )
    keys = {value.key for value in manifest.values}
    if len(keys) < len(manifest.values) or keys & {MANIFEST_KEY, ""}:
        raise InvalidManifest("a key is empty, reserved or duplicate")
    for value in manifest.values:
        if not 0 < value.size <= MAX_VALUE_BYTES:
            raise InvalidManifest(
                f"value {value.key} has size {value.size}, out of range"
            )
        if SHA256.fullmatch(value.sha256) is None:
            raise InvalidManifest(f"value {value.key} has an invalid SHA-256 hash")
    if sum(value.size for value in manifest.values) > MAX_SET_BYTES:
        raise InvalidManifest("object set is over the size limit")
    return manifest
