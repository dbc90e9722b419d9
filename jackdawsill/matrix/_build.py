"""Builds the simulated hosts from the components that the daemon uses."""

import random

from jackdawsill.assembly import assemble_host
from jackdawsill.core import HostState
from jackdawsill.matrix._world import FakeHost, World
from jackdawsill.membership import Member

FLEET_KEY = b"matrix-fleet-key"


def build_host(world: World, host: FakeHost) -> HostState:
    """Return the state of a new host process, seeded from the world's generator."""
    member = Member(host.incarnation, host.name, host.address, host.failure_domain)
    rng = random.Random(world.rng.getrandbits(64))
    seeds = tuple(sorted(h.address for h in world.hosts.values()))
    return assemble_host(member, rng, world.config.load, FLEET_KEY, seeds)
