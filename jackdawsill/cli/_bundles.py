"""Bundles as directories: the manifest and each value that it lists are one file."""

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


def _read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        message = f"{path} cannot be read: {exc.strerror or exc}"
        raise BundleNotWritten(message) from None


def _check_successor(bundle: Bundle, checked: CheckedSet, directory: Path) -> None:
    """Raise an error if hosts with the bundle in `directory` would refuse `bundle`.

    A different bundle needs a higher generation, and `check_change` must accept the
    change.
    """
    path = directory / MANIFEST_KEY
    if not path.exists():
        return
    previous = read_set(directory)
    if (previous.generation, previous.digest) == (bundle.generation, bundle.digest):
        return
    if previous.generation >= bundle.generation:
        raise GenerationNotRising(
            f"{path} holds generation {previous.generation}; the new generation "
            f"{bundle.generation} must be higher"
        )
    check_change(previous, checked)


def write_bundle(checked: CheckedSet, generation: int, directory: Path) -> Bundle:
    """Write the values and then the manifest; values of older bundles are kept."""
    bundle = bundle_set(checked.objects, generation)
    _check_successor(bundle, checked, directory)
    try:
        directory.mkdir(parents=True, exist_ok=True)
        for key, data in bundle.items():
            # Each file is replaced atomically, and the manifest follows its values, so
            # that a reader never finds an incomplete bundle.
            temporary = directory / f".{key}.partial"
            temporary.write_bytes(data)
            os.replace(temporary, directory / key)
    except OSError as exc:
        message = f"{directory} cannot be written: {exc.strerror or exc}"
        raise BundleNotWritten(message) from None
    return bundle


def read_set(directory: Path) -> ObjectSet:
    """Return the object set of a directory of INI files or of a written bundle."""
    manifest_path = directory / MANIFEST_KEY
    if not manifest_path.exists():
        return check_set(directory).objects
    data = _read_file(manifest_path)
    try:
        keys = [entry.key for entry in read_manifest(data).values]
        values = {key: _read_file(directory / key) for key in keys}
        return load_bundle(data, values)
    except BundleInvalid as exc:
        raise BundleInvalid(f"{directory}: {exc.message}") from None
