"""The rule when a replica may get a request of this host.

In this order: a replica that leaves, by its entry or its own word, gets none; one that
has asked for time gets none before its end; one that states a limit gets one in each
slot of this host's share. An ejected replica may get one if no other is left, since a
failure may have passed.
"""

from collections.abc import Iterable

from jackdawsill.forwarding._leaving import LeavingReplicas
from jackdawsill.forwarding._replica import LiveReplica


def is_leaving(replica: LiveReplica, leaving: LeavingReplicas) -> bool:
    """Tell whether a replica gets no request any more."""
    return replica.entry.draining or leaving.is_leaving(replica.entry)


def sendable_at(replica: LiveReplica, n_hosts: float, now: float) -> float:
    """Return when a replica that does not leave may get the next request.

    That is at most `now` if it may get it now. `n_hosts` is the number of shares into
    which its limit is divided.
    """
    at = replica.held_until
    if replica.rate_share is not None:
        at = max(at, replica.rate_share.available_at(n_hosts, now))
    return max(at, now)


def index_by_service(
    replicas: Iterable[LiveReplica], leaving: LeavingReplicas
) -> dict[str, list[LiveReplica]]:
    """Return the replicas of each service that do not leave.

    Reports of other hosts alone never empty a service: they may be about another
    process, and only the host that got the answer must act on it.
    """
    index: dict[str, list[LiveReplica]] = {}
    reported: dict[str, list[LiveReplica]] = {}
    for replica in replicas:
        service = replica.entry.service
        if not is_leaving(replica, leaving):
            index.setdefault(service, []).append(replica)
        elif not replica.entry.draining and leaving.is_only_reported(replica.entry):
            reported.setdefault(service, []).append(replica)
    return reported | index
