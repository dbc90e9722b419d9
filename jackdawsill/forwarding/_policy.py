"""Settings and constants of the decisions about forwarded calls."""

import msgspec


class ForwardingPolicy(msgspec.Struct, frozen=True):
    """Times that depend on the deployment, in seconds."""

    # Time that a request and its reply spend between caller and host, including the
    # opening of the connection. The host subtracts it from the latency objective.
    caller_network_s: float
    grace_s: float  # from the stop request until the process is killed


# An attempt is hedged after HEDGE_DELAY_FACTOR times this quantile of recent latencies.
# Pauses and rare long requests, a few percent of all, lie above the quantile, so they
# do not change the delay.
HEDGE_QUANTILE = 0.85
HEDGE_DELAY_FACTOR = 1.3
# Lower bound of the hedge delay; a shorter one would mostly react to timer noise.
HEDGE_MIN_S = 0.008
# Hedge delay of a route without enough samples, as a fraction of its objective.
HEDGE_DEFAULT_FRACTION = 0.3
# Typical latency of a route without enough samples, as a fraction of its objective.
TYPICAL_DEFAULT_FRACTION = 0.15
# Lower bound of the typical latency: the resolution of the clock.
TYPICAL_MIN_S = 0.001
# Attempts still in progress when their call ends are aborted after this time. An
# attempt that ends earlier leaves its connection usable. The time is well below the one
# after which the work of a replica for an abandoned call counts as wasted.
LINGER_S = 0.25
# The host refuses a call this long before the caller's own deadline, so that the reply
# arrives in time.
DEADLINE_MARGIN_S = 0.01
# A part is retried as long as at most this many of its attempts were not run.
N_NOT_RUN_MAX = 2
# When a caller is told to retry if no replica accepted its request. A full replica has
# probably worked off its queue by then.
RETRY_AFTER_FULL_S = 0.1
# When a caller is told to retry if routes or replicas are unknown. They have probably
# been read by then.
RETRY_AFTER_UNKNOWN_S = 0.4
# When a caller is told to retry if the host stops. Other hosts can serve it at once.
RETRY_AFTER_STOPPING_S = 0.0
# A call that must not be repeated begins on a host that stops only if this many times
# its objective are left, or all of its time.
UNREPEATABLE_OBJECTIVES = 3.0
