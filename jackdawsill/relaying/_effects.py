"""Effects of relaying."""

from jackdawsill.core import Effect


class FollowStore(Effect):
    """Begin or end to follow the store; others rely on it if `is_relay`."""

    enabled: bool
    is_relay: bool
