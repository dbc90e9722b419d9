"""Effects of relaying."""

from jackdawsill.core import Effect


class FollowStore(Effect):
    """Start or stop following the store; with `is_relay` for other hosts as well."""

    enabled: bool
    is_relay: bool
