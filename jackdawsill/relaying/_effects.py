"""Effects of relaying."""

from dataclasses import dataclass

from jackdawsill.core import Effect


@dataclass(slots=True, frozen=True)
class FollowStore(Effect):
    """Begin or end to follow the store; others rely on it if `is_relay`."""

    enabled: bool
    is_relay: bool
