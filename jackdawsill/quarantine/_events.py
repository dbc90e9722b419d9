"""Events of the quarantine."""

from jackdawsill.core import Event


class CrashRecorded(Event):
    """A crash was reported, and the sender of the sub-request has recorded it."""
