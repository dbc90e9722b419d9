"""Comparison of entries: their order under one name, and their digest."""

import zlib
from collections.abc import Iterable

from jackdawsill.forwarding._model import ReplicaEntry


def is_same_process(known: ReplicaEntry, entry: ReplicaEntry) -> bool:
    """Tell whether two entries of one name describe the same run of a process."""
    return (known.incarnation, known.address, known.service) == (
        entry.incarnation,
        entry.address,
        entry.service,
    )


def is_same_start(known: ReplicaEntry, entry: ReplicaEntry) -> bool:
    """Tell whether two entries of one name state the same start of a process."""
    return bool(entry.incarnation) and known.incarnation == entry.incarnation


def is_older(entry: ReplicaEntry, known: ReplicaEntry) -> bool:
    """Tell whether a process wrote an entry before the known one.

    Without a count, only that it drains is certain: a draining process does not become
    ready again. Without an incarnation the process may be another one.
    """
    if not entry.incarnation:
        return False
    return (entry.sequence, entry.draining) < (known.sequence, known.draining)


def is_earlier_process(entry: ReplicaEntry, known: ReplicaEntry) -> bool:
    """Tell whether an entry's process started before that of the known entry."""
    if not entry.incarnation:
        return False
    started, known_started = entry.incarnation, known.incarnation
    return (len(started), started) < (len(known_started), known_started)


def digest_entries(entries: Iterable[ReplicaEntry]) -> int:
    """Return a number that is equal for the same entries in any order."""
    digest = 0
    for e in entries:
        text = f"{e.name} {e.incarnation} {e.address} {e.draining}"
        digest ^= zlib.crc32(text.encode())
    return digest
