"""Bundles in directories, one file for each key."""

import os
from pathlib import Path

from jackdawsill.cli._errors import BundleNotWritten, GenerationNotRising
from jackdawsill.objects import (
    MANIFEST_KEY,
    Bundle,
    BundleInvalid,
    CheckedSet,
    ObjectSet,
    bundle_set,
    check_change,
    check_set,
    load_bundle,
    read_manifest,
)


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        message = f"{path} cannot be read: {exc.strerror or exc}"
        raise BundleNotWritten(message) from None


def _check_successor(bundle: Bundle, checked: CheckedSet, directory: Path) -> None:
    """Refuse what hosts with the bundle present would ignore or contradict."""
    path = directory / MANIFEST_KEY
    if not path.exists():
        return
    present = read_set(directory)
    if (present.generation, present.digest) == (bundle.generation, bundle.digest):
        return
    if present.generation >= bundle.generation:
        raise GenerationNotRising(
            f"{path} holds generation {present.generation}; generation "
            f"{bundle.generation} must be above it"
        )
    check_change(present, checked)


def write_bundle(checked: CheckedSet, generation: int, directory: Path) -> Bundle:
    """Write the values and then the manifest; values of older bundles stay."""
    bundle = bundle_set(checked.objects, generation)
    _check_successor(bundle, checked, directory)
    try:
        directory.mkdir(parents=True, exist_ok=True)
        for key, data in bundle.items():
            # A file appears whole or not at all, and the manifest after its values.
            partial = directory / f".{key}.partial"
            partial.write_bytes(data)
            os.replace(partial, directory / key)
    except OSError as exc:
        message = f"{directory} cannot be written: {exc.strerror or exc}"
        raise BundleNotWritten(message) from None
    return bundle


def read_set(directory: Path) -> ObjectSet:
    """Return the set of a directory of INI files or of a written bundle."""
    manifest_path = directory / MANIFEST_KEY
    if not manifest_path.exists():
        return check_set(directory).objects
    data = _read(manifest_path)
    try:
        keys = [entry.key for entry in read_manifest(data).values]
        found = {key: _read(directory / key) for key in keys}
        return load_bundle(data, found)
    except BundleInvalid as exc:
        raise BundleInvalid(f"{directory}: {exc.message}") from None
