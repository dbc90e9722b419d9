"""Settings of the decisions about forwarded calls."""

import msgspec


class ForwardingPolicy(msgspec.Struct, frozen=True):
    """Bounds that the deployment states; times are in seconds."""

    # Time that a request and its answer spend between caller and host, with the
    # opening of the connection: the part of the objective that no host can use.
    caller_network_s: float
    grace_s: float  # from the request to stop until the process is killed


# An attempt is hedged after this multiple of the time within which this part of the
# attempts end. Pauses and rare long requests, a few in a hundred, lie above the
# quantile, so they do not move the delay.
HEDGE_QUANTILE = 0.85
HEDGE_STRETCH = 1.3
# A hedge sooner than this would mostly answer timer noise.
HEDGE_MIN_S = 0.008
# Delay of hedges until a route's usual time is known, as a part of its objective.
HEDGE_DEFAULT_FRACTION = 0.3
# Usual time of an attempt until it is known, as a part of the route's objective.
USUAL_DEFAULT_FRACTION = 0.15
# The clock's resolution; shorter times cannot be compared.
USUAL_MIN_S = 0.001
# Attempts of a finished call may end by themselves for this time, which keeps their
# connections open; it is well below the time after which a replica that works for a
# caller that has left counts as waste.
LINGER_S = 0.25
# Time before the caller's own deadline at which the host gives up, so that its
# answer arrives in time.
DEADLINE_MARGIN_S = 0.01
# Sends of one part that replicas refused without running it.
N_REFUSED_MAX = 2
# When a caller whose request was not run is told to come back: after a replica that
# was full has worked off its queue, and after routes or replicas are likely known.
RETRY_FULL_S = 0.1
RETRY_UNKNOWN_S = 0.4
