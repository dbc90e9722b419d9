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
# A shorter delay would mostly hedge on timer noise.
HEDGE_MIN_S = 0.008
# Hedge delay of a route without enough samples, as a fraction of its objective.
HEDGE_DEFAULT_FRACTION = 0.3
# Typical latency of a route without enough samples, as a fraction of its objective.
TYPICAL_DEFAULT_FRACTION = 0.15
# Resolution of the clock; shorter latencies cannot be compared.
TYPICAL_MIN_S = 0.001
# Open attempts of an ended call are aborted after this time. Those that end before keep
# their connections open. It is well below the time after which work of a replica for a
# caller that has left counts as wasted.
LINGER_S = 0.25
# The host refuses a call this long before the caller's own deadline, so that the reply
# arrives in time.
DEADLINE_MARGIN_S = 0.01
# A part is retried after at most this many attempts that replicas refused to run.
N_REFUSED_MAX = 2
# Retry delays sent to callers whose request was not run: a full replica has probably
# worked off its queue, and routes or replicas are probably known by then.
RETRY_FULL_S = 0.1
RETRY_UNKNOWN_S = 0.4
