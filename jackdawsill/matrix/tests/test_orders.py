"""Search of event orders: random acts of callers, operators and faults."""

import unittest

from hypothesis import HealthCheck, given, note, seed, settings
from hypothesis import strategies as st

from jackdawsill.matrix import FAULTS, check_all
from jackdawsill.matrix._build import build_host
from jackdawsill.matrix._faults import FaultContext
from jackdawsill.matrix._scenario import Scenario

N_EXAMPLES = 60
HOSTS = ("h1", "h2", "h3")

acts = st.one_of(
    st.tuples(st.just("query"), st.sampled_from(HOSTS)),
    st.tuples(st.just("order"), st.sampled_from(HOSTS)),
    st.tuples(st.sampled_from(sorted(FAULTS)), st.sampled_from(HOSTS)),
    st.tuples(st.just("stop"), st.just("h1")),
    st.tuples(st.just("wait"), st.sampled_from((0.001, 0.02, 0.3, 2.5))),
)


def apply_act(scenario: Scenario, act: str, subject: str | float) -> None:
    """Apply one act; acts of hosts that are gone do nothing."""
    world = scenario.world
    if act == "wait":
        world.run_until(world.now + subject)
        return
    host = world.hosts[subject]
    if not host.alive:
        return
    if act == "query":
        if host.ready:
            scenario.query(host)
    elif act == "order":
        if host.ready:
            scenario.order(host=host)
    elif act == "stop":
        if host.name not in world.journal.stops:
            scenario.stop(host)
    else:
        FAULTS[act](FaultContext(scenario, host, None))


class TestOrders(unittest.TestCase):
    """Guards the invariants against orders of events that no script names."""

    @seed(20261204)
    @settings(
        max_examples=N_EXAMPLES,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.integers(min_value=0, max_value=2**16),
        st.lists(acts, min_size=3, max_size=18),
    )
    def test_random_acts(self, world_seed, chosen):
        """Guards against a combination of acts that breaks an invariant."""
        scenario = Scenario(build_host, world_seed)
        for act, subject in chosen:
            apply_act(scenario, act, subject)
        scenario.finish()
        violations = check_all(scenario.world.journal, scenario.sets)
        note(str(violations))
        self.assertEqual(violations, [])
