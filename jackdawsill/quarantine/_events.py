"""Events of the quarantine."""

from jackdawsill.core import Event


class CrashRecorded(Event):
    """A sub-request crashed its replica, and `Quarantine.on_crash` has recorded it.

    It is handled after all handlers of the `SubFailed` that reported the crash.
    """
