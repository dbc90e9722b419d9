"""Bundles: an object set as hashed values and a manifest, for publication.

The manifest is published last, so that it never names a value that is missing.
"""

import hashlib
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields

import msgspec

from jackdawsill.objects._check import check_draft, check_set, make_set
from jackdawsill.objects._draft import Draft, Place
from jackdawsill.objects._errors import (
    BadGeneration,
    BundleInvalid,
    BundleTooLarge,
    DuplicateObject,
    EmptySet,
)
from jackdawsill.objects._kinds import KINDS
from jackdawsill.objects._model import ObjectSet
from jackdawsill.objects._values import (
    MAX_VALUE_BYTES,
    VALUE_PREFIX,
    ValueBody,
    decode_value,
    encode_values,
    overall_digest,
)

MANIFEST_KEY = "manifest"
MANIFEST_FORMAT = 1
MAX_GENERATION = 2**63 - 1

# msgspec raises RecursionError for deeply nested input.
_DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


@dataclass(slots=True, frozen=True)
class ManifestEntry:
    """Key, hash and size in bytes of one value."""

    key: str
    sha256: str
    size: int


@dataclass(slots=True, frozen=True)
class Manifest:
    """List of all values of a set, in order, with generation and digest."""

    format: int
    generation: int
    digest: str
    values: tuple[ManifestEntry, ...]


@dataclass(slots=True, frozen=True)
class Bundle:
    """Values and manifest of one generation, ready to be published."""

    generation: int
    digest: str
    manifest: bytes
    values: dict[str, bytes]

    def items(self) -> Iterator[tuple[str, bytes]]:
        """Yield keys and values in the order of publication, the manifest last."""
        yield from self.values.items()
        yield MANIFEST_KEY, self.manifest


def bundle_set(objects: ObjectSet, generation: int) -> Bundle:
    """Return the bundle of a checked set.

    Raises `BadGeneration`, or `BundleTooLarge` if an object or the manifest exceeds the
    size of a value.
    """
    if type(generation) is not int or not 1 <= generation <= MAX_GENERATION:
        raise BadGeneration(
            f"generation {generation!r} is not an integer from 1 to 2**63 - 1"
        )
    tables = {kind: getattr(objects, spec.table) for kind, spec in KINDS.items()}
    values = encode_values(tables)
    manifest = Manifest(
        MANIFEST_FORMAT,
        generation,
        overall_digest(values),
        tuple(ManifestEntry(v.key, v.sha256, len(v.data)) for v in values),
    )
    data = msgspec.json.encode(manifest)
    if len(data) > MAX_VALUE_BYTES:
        raise BundleTooLarge(f"manifest takes {len(data)} bytes")
    by_key = {value.key: value.data for value in values}
    return Bundle(generation, manifest.digest, data, by_key)


def bundle(directory: str | os.PathLike[str], generation: int) -> Bundle:
    """Check the INI files of a directory and return the bundle of the set."""
    return bundle_set(check_set(directory).objects, generation)


def read_manifest(data: bytes) -> Manifest:
    """Decode a manifest, without a check of the values.

    Raises `BundleInvalid` if format, generation, keys, sizes or digest are invalid.
    """
    if len(data) > MAX_VALUE_BYTES:
        raise BundleInvalid(f"manifest has {len(data)} bytes")
    try:
        manifest = msgspec.json.decode(data, type=Manifest)
    except _DECODE_ERRORS as exc:
        raise BundleInvalid(f"manifest cannot be decoded: {exc}") from None
    if manifest.format != MANIFEST_FORMAT:
        raise BundleInvalid(f"manifest has unknown format {manifest.format}")
    if not 1 <= manifest.generation <= MAX_GENERATION:
        raise BundleInvalid(f"manifest has generation {manifest.generation}")
    keys = set()
    for entry in manifest.values:
        if entry.key != VALUE_PREFIX + entry.sha256 or entry.key in keys:
            raise BundleInvalid(f"manifest has a wrong or repeated key {entry.key!r}")
        if not 0 < entry.size <= MAX_VALUE_BYTES:
            raise BundleInvalid(f"{entry.key} has size {entry.size} in the manifest")
        keys.add(entry.key)
    if overall_digest(manifest.values) != manifest.digest:
        raise BundleInvalid("the digest of the manifest does not match its values")
    return manifest


def check_value(entry: ManifestEntry, data: bytes | None) -> bytes:
    """Return the value; raise `BundleInvalid` if its size or hash does not match."""
    if data is None:
        raise BundleInvalid(f"{entry.key} is missing")
    if len(data) != entry.size:
        raise BundleInvalid(f"{entry.key} has {len(data)} bytes, not {entry.size}")
    if hashlib.sha256(data).hexdigest() != entry.sha256:
        raise BundleInvalid(f"{entry.key} does not match its hash")
    return data


def _add_body(draft: Draft, key: str, body: ValueBody) -> None:
    """Add the objects of one value to a draft, with the value's key as their file."""
    place = Place(key, 0)
    for body_field in fields(body):
        kind = body_field.name
        for item in getattr(body, kind):
            if item.name in draft.tables[kind]:
                message = f"also defined in value {draft.places[kind, item.name].file}"
                section = f"{kind} {item.name}"
                draft.problems.append(
                    DuplicateObject(message, file=key, section=section)
                )
                continue
            draft.tables[kind][item.name] = item
            draft.places[kind, item.name] = place


def load_bundle(manifest_bytes: bytes, values: Mapping[str, bytes]) -> ObjectSet:
    """Return the object set of a bundle after checking all hashes and rules.

    Raises `BundleInvalid` for a damaged bundle and `SetInvalid` for a set that violates
    a rule.
    """
    manifest = read_manifest(manifest_bytes)
    # Hosts load bundles between requests, so no time is spent on suggestions.
    draft = Draft(n_suggestions_left=0)
    for entry in manifest.values:
        data = check_value(entry, values.get(entry.key))
        try:
            body = decode_value(data)
        except _DECODE_ERRORS as exc:
            message = f"{entry.key} cannot be decoded: {exc}"
            raise BundleInvalid(message) from None
        _add_body(draft, entry.key, body)
    if not draft.places and not draft.problems:
        draft.problems.append(EmptySet("no objects", file=MANIFEST_KEY))
    check_draft(draft, f"bundle of generation {manifest.generation}")
    return make_set(draft.tables, manifest.generation, manifest.digest)
