"""What a replica says of itself in an answer: that it leaves, or that it needs time."""

import re

import msgspec

# A replica is held back for at most this time for one answer, longer than any request
# of the platform lasts. It can ask again.
MAX_HOLD_S = 300.0
_SECONDS = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?")


class ReplicaSignals(msgspec.Struct, frozen=True):
    """Signals of one answer; `problem` tells why a value was not understood."""

    is_leaving: bool = False
    hold_s: float | None = None
    problem: str = ""

    @property
    def is_empty(self) -> bool:
        """Tell whether the answer has no signal."""
        return not self.is_leaving and self.hold_s is None and not self.problem


NO_SIGNALS = ReplicaSignals()


def read_signals(leaving: list[bytes], hold: list[bytes]) -> ReplicaSignals:
    """Return the signals in the values of both headers.

    Only the value 1 says that the replica leaves. A time is a number of seconds with
    an optional fraction; of several ones the longest counts, at most MAX_HOLD_S.
    """
    problems = [f"leaving {value[:40]!r}" for value in leaving if value.strip() != b"1"]
    seconds = []
    for value in hold:
        if _SECONDS.fullmatch(value.strip()):
            seconds.append(float(value))
        else:
            problems.append(f"time {value[:40]!r}")
    longest_s = max(seconds, default=None)
    if longest_s is not None and longest_s > MAX_HOLD_S:
        problems.append(f"time over {MAX_HOLD_S:g} s")
        longest_s = MAX_HOLD_S
    return ReplicaSignals(
        any(value.strip() == b"1" for value in leaving), longest_s, ", ".join(problems)
    )
