"""Assembly of a host's state from its components."""

import random
from collections.abc import Iterable

from jackdawsill.burn import ErrorBudgets
from jackdawsill.core import HostState
from jackdawsill.membership import Member, MemberTable
from jackdawsill.metrics import LatencyHistograms
from jackdawsill.quarantine import Quarantine
from jackdawsill.query import attach_query_components
from jackdawsill.spread import ConfigSync, LoadBundle
from jackdawsill.stopping import HostLifecycle
from jackdawsill.tickets import TicketManager


def assemble_host(
    member: Member,
    rng: random.Random,
    load_bundle: LoadBundle,
    fleet_key: bytes,
    seeds: Iterable[str] = (),
) -> HostState:
    """Return the state of a new process with all components of a host attached.

    `load_bundle` checks a pulled object set, `fleet_key` authenticates peers, `seeds`
    are `address:port` of the hosts to contact first.
    """
    state = HostState(member.name, member.failure_domain, rng)
    state.attach(MemberTable(member, fleet_key, seeds))
    state.attach(ConfigSync(load_bundle))
    state.attach(Quarantine())
    state.attach(HostLifecycle())
    state.attach(TicketManager())
    state.attach(ErrorBudgets(member.name))
    state.attach(LatencyHistograms())
    attach_query_components(state, member.incarnation)
    return state


def new_incarnation(rng: random.Random) -> str:
    """Return a random 128-bit id of one run of a host, in hexadecimal."""
    return f"{rng.getrandbits(128):032x}"
