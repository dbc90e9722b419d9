"""Property test: random sequences of actions of callers, operators and faults."""

import unittest

from hypothesis import HealthCheck, given, note, seed, settings
from hypothesis import strategies as st

from jackdawsill.matrix import FAULTS, check_all
from jackdawsill.matrix._build import build_host
from jackdawsill.matrix._faults import FaultContext
from jackdawsill.matrix._scenario import Scenario

N_EXAMPLES = 60
HOSTS = ("h1", "h2", "h3")

actions = st.one_of(
    st.tuples(st.just("query"), st.sampled_from(HOSTS)),
    st.tuples(st.just("order"), st.sampled_from(HOSTS)),
    st.tuples(st.sampled_from(sorted(FAULTS)), st.sampled_from(HOSTS)),
    st.tuples(st.just("stop"), st.just("h1")),
    st.tuples(st.just("wait"), st.sampled_from((0.001, 0.02, 0.3, 2.5))),
)


def apply_action(scenario: Scenario, action: str, argument: str | float) -> None:
    """Run one action; actions on hosts that are not alive are skipped."""
    world = scenario.world
    if action == "wait":
        world.run_until(world.now + argument)
        return
    host = world.hosts[argument]
    if not host.alive:
        return
    if action == "query":
        if host.ready:
            scenario.query(host)
    elif action == "order":
        if host.ready:
            scenario.send_order(host=host)
    elif action == "stop":
        if host.name not in world.journal.stop_requested_at:
            scenario.stop(host)
    else:
        FAULTS[action](FaultContext(scenario, host, None))


class TestRandomSequences(unittest.TestCase):
    """Guards against decisions that are right only in the event orders of scripts."""

    @seed(20261204)
    @settings(
        max_examples=N_EXAMPLES,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.integers(min_value=0, max_value=2**16),
        st.lists(actions, min_size=3, max_size=18),
    )
    def test_random_actions(self, world_seed, sequence):
        """Guards against a sequence of requests, faults and stops that violates one."""
        scenario = Scenario(build_host, world_seed)
        for action, argument in sequence:
            apply_action(scenario, action, argument)
        scenario.finish()
        violations = check_all(scenario.world.journal, scenario.sets)
        note(str(violations))
        self.assertEqual(violations, [])
