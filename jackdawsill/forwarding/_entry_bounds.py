"""Bounds of what an entry of a replica may state.

Other writers may leave entries beside those of the replicas. One that is out of bounds
names no replica.
"""

import ipaddress
import re
from collections.abc import Iterable

from jackdawsill.forwarding._model import ReplicaEntry

MAX_NAME_CHARS = 200  # of names of replicas, services and failure domains
MAX_PORT = 65_535  # of TCP
MAX_SLOTS = 1_000_000  # requests that one replica runs at a time
MAX_COLD_S = 3600.0  # for which a replica is slow after its start
# Largest number that JSON writers of all kinds represent exactly.
MAX_COUNT = 2**53
# A name is sent to the replica in a header.
_NAME = re.compile(rf"[!-~]{{1,{MAX_NAME_CHARS}}}")


def check_entry(entry: ReplicaEntry) -> None:
    """Raise ValueError if an entry cannot describe a replica."""
    for name in (entry.name, entry.service, entry.failure_domain):
        if not _NAME.fullmatch(name):
            raise ValueError(f"name {name[:50]!r} is empty, too long or not ASCII")
    check_address(entry.address)
    if not 1 <= entry.n_slots <= MAX_SLOTS:
        raise ValueError(f"number of slots is not 1 to {MAX_SLOTS}")
    if not 0 <= entry.cold_s <= MAX_COLD_S:
        raise ValueError(f"cold for more than {MAX_COLD_S:g} s")
    if not 0 <= entry.sequence <= MAX_COUNT:
        raise ValueError(f"count of writes is not 0 to {MAX_COUNT}")
    if entry.incarnation and not (
        entry.incarnation.isascii()
        and entry.incarnation.isdigit()
        and len(entry.incarnation) <= len(str(MAX_COUNT))
    ):
        raise ValueError(f"start time {entry.incarnation[:50]!r}")


def usable_entries(
    entries: Iterable[ReplicaEntry],
) -> tuple[tuple[ReplicaEntry, ...], list[str]]:
    """Return the entries within bounds, and why each other one is not."""
    usable, reasons = [], []
    for entry in entries:
        try:
            check_entry(entry)
        except ValueError as exc:
            reasons.append(f"{entry.name[:50]}: {exc}")
        else:
            usable.append(entry)
    return tuple(usable), reasons


def check_address(address: str) -> None:
    """Raise ValueError unless an address is ip:port with a port that can be opened."""
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        raise ValueError(f"address {address[:50]!r} has no port")
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"port {port} is not 1 to {MAX_PORT}")
