"""Refusals of forwarded calls, with the status and the outcome callers get."""

from jackdawsill.exceptions import JackdawsillError, Outcome, register_error


@register_error(2501, status=503)
class NoRoutesYet(JackdawsillError):
    """The host has not read a configuration yet."""


@register_error(2502, status=404)
class NoSuchRoute(JackdawsillError):
    """No route of the accepted configuration matches the host name and path."""


@register_error(2503, status=503)
class NoReplica(JackdawsillError):
    """No replica accepted the call; it was not run."""


@register_error(2509, status=503)
class RateLimited(JackdawsillError):
    """Replicas state limits or asked for time and take nothing now; it was not run."""


@register_error(2510, status=503)
class HostStopping(JackdawsillError):
    """The host stops before it could answer the call; it was not run."""


@register_error(2504, status=502, outcome=Outcome.OUTCOME_UNKNOWN)
class AttemptsFailed(JackdawsillError):
    """Replicas that may have run the call gave no usable answer."""


@register_error(2505, status=504, outcome=Outcome.OUTCOME_UNKNOWN)
class DeadlinePassed(JackdawsillError):
    """The deadline passed while replicas may have been running the call."""


@register_error(2506, status=503)
class ExpiredUnsent(JackdawsillError):
    """The deadline passed before the call was sent to any replica."""


@register_error(2507, status=502, outcome=Outcome.PARTLY_RUN)
class CoverageTooLow(JackdawsillError):
    """Too few shards answered for the coverage that the route requires."""


@register_error(2508, status=503)
class Condemned(JackdawsillError):
    """The request crashed several replicas and is not sent to another one."""


@register_error(2511, status=503)
class DelegationDeclined(JackdawsillError):
    """The host does not run a call of another host.

    It reaches no replica, or has another version of the configuration.
    """


@register_error(2512, status=503)
class HostCutOff(JackdawsillError):
    """The host reaches neither replicas nor a host that does; the call was not run."""


@register_error(2513, status=503)
class ConfigurationBehind(JackdawsillError):
    """The host has not read a version of the configuration that others run for it."""
