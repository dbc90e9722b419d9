"""Build the state of a host from its settings."""

import random
from typing import Any

from jackdawsill.core import HostState
from jackdawsill.membership import Member, MemberTable
from jackdawsill.quarantine import Quarantine
from jackdawsill.spread import ConfigSpread
from jackdawsill.stopping import Stopping
from jackdawsill.tickets import TicketOffice


def build_state(
    cfg: Any, rng: random.Random, peer_port: int | None = None
) -> HostState:
    """Return the state of a new process with one object of each component.

    `peer_port` is the bound port, where the settings let the kernel choose it.
    """
    host = cfg.host
    state = HostState(host.name, host.failure_domain, rng)
    incarnation = f"{rng.getrandbits(128):032x}"
    address = f"{host.address}:{peer_port or host.peer_port}"
    member = Member(incarnation, host.name, address, host.failure_domain)
    state.attach(MemberTable(member))
    state.attach(ConfigSpread())
    state.attach(Stopping())
    state.attach(TicketOffice())
    state.attach(Quarantine())
    return state
