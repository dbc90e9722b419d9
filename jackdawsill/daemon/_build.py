"""Creation of a host's state from its settings."""

import random

from jackdawsill.assembly import assemble_host, new_incarnation
from jackdawsill.core import HostState
from jackdawsill.membership import Member
from jackdawsill.objects import load_bundle
from jackdawsill.runtime import join_address
from jackdawsill.settings import Settings


def build_state(
    cfg: Settings, rng: random.Random, peer_port: int | None = None
) -> HostState:
    """Return the state of a new process with all components attached.

    `peer_port` is the bound port, needed if the settings let the kernel choose it.
    """
    host = cfg.host
    member = Member(
        incarnation=new_incarnation(rng),
        name=host.name,
        address=join_address(host.address, peer_port or host.peer_port),
        failure_domain=host.failure_domain,
    )
    seeds = tuple(str(seed) for seed in cfg.platform.seeds)
    return assemble_host(member, rng, load_bundle, host.fleet_key.encode(), seeds)
