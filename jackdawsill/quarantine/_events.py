"""Events of the quarantine."""

from dataclasses import dataclass

from jackdawsill.core import Event


@dataclass(slots=True, frozen=True)
class CrashRecorded(Event):
    """A crash was reported, and the owner of the sub-request has recorded it."""
