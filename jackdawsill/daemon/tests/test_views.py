"""Tests of the operator views of a host."""

import dataclasses
import json
import random
import unittest
from pathlib import Path

from jackdawsill.assembly import assemble_host, new_incarnation
from jackdawsill.core import Count, FailureKind, SetAccepted, explain, reduce, status
from jackdawsill.daemon import _views  # noqa: F401
from jackdawsill.daemon._metrics import make_metrics
from jackdawsill.daemon.tests._fixtures import settings
from jackdawsill.limits import ConcurrencyLimits, ConnectionShares
from jackdawsill.membership import Member
from jackdawsill.objects import check_set, load_bundle
from jackdawsill.quarantine import Quarantine
from jackdawsill.routing import LEAVING_TTL_S, RAMP_S, ReplicaTable
from jackdawsill.settings import MetricsMode, MetricsSettings, Settings

ENVASES = Path(__file__).parents[3] / "examples" / "envases"


class TestViews(unittest.TestCase):
    """Guards against views that hide a reason or show a wrong one."""

    def setUp(self):
        rng = random.Random(1)
        member = Member(new_incarnation(rng), "h1", "127.0.0.1:1", "bogota")
        self.state = assemble_host(member, rng, load_bundle, b"k" * 16)
        self.state.objects_ = check_set(ENVASES).objects
        reduce(self.state, SetAccepted(1, "d"), 0.0)
        self.table = self.state.component(ReplicaTable)

    def replica(self, now):
        """Return the explain sections of one replica."""
        return explain(self.state, "replica", "archivo-01-a", now)

    def test_status_is_json(self):
        """Guards against values that JSON cannot hold, such as an infinite time."""
        self.table.mark_leaving("archivo-01-a", 0.0)
        content = status(self.state, 1.0)
        json.dumps(content, allow_nan=False)
        self.assertEqual(
            content["replicas"]["not_as_usual"],
            [{"replica": "archivo-01-a", "treatment": "no new work: it is leaving"}],
        )

    def test_draining_and_ramp(self):
        """Guards against a draining or ramp state that a view changes or hides."""
        self.table.mark_leaving("archivo-01-a", 0.0)
        seen = self.replica(1.0)["observed"]
        self.assertEqual(seen["draining_for_s"], LEAVING_TTL_S - 1.0)
        after_s = LEAVING_TTL_S + 1.0
        self.replica(after_s)
        self.assertIsNone(self.table.replicas_["archivo-01-a"].ramp_started_at)
        self.assertTrue(self.table.may_use("archivo-01-a", after_s))
        seen = self.replica(after_s + RAMP_S / 2)["observed"]
        self.assertEqual(seen["treatment"], "ramped: it returned cold")
        # Halfway through the ramp.
        self.assertEqual(seen["ramp_fraction"], 0.55)

    def test_replica_marked_as_leaving_in_the_set(self):
        """Guards against a replica that is unused without a visible reason."""
        replicas = self.state.objects_.replicas
        self.assertEqual(self.replica(0.0)["observed"], {"treatment": "not used yet"})
        name = "archivo-01-a"
        replicas[name] = dataclasses.replace(replicas[name], leaving=True)
        expected = "no new work: it is marked as leaving in the set"
        self.assertEqual(self.replica(0.0)["observed"]["treatment"], expected)
        self.table.on_answer(name, 0.01, None, 0.0)
        self.assertEqual(self.replica(0.0)["observed"]["treatment"], expected)
        rows = status(self.state, 0.0)["replicas"]["not_as_usual"]
        self.assertEqual(rows, [{"replica": name, "treatment": expected}])

    def test_ejection_share_and_limit(self):
        """Guards against shown limits that differ from those in use."""
        self.table.on_failure("archivo-01-a", FailureKind.CRASH, 0.0)
        self.state.component(ConnectionShares).on_cap_refused("archivo-01-a", 0.0)
        self.state.component(ConcurrencyLimits).on_shed("archivo-01-a", 2, 0.0)
        found = self.replica(0.1)
        self.assertEqual(found["observed"]["ejected_for_s"], 0.4)
        limits = found["limits"]
        self.assertEqual((limits["connection_share"], limits["full_share"]), (20, 40))
        self.assertEqual(limits["concurrency_limit"], 1.4)
        self.assertEqual(found["hedging"]["source"], "default")

    def test_entitlement(self):
        """Guards against a reason that contradicts the admission decision."""
        routes = explain(self.state, "caller", "imprenta-andina", 0.0)
        rows = {row["route"]: row for row in routes["entitlement"]["routes"]}
        self.assertEqual(rows["proof-search"]["sees"], "approved-proof")
        self.assertFalse(rows["dieline-search"]["may_query"])
        route = explain(self.state, "route", "print-order", 0.0)["entitlement"]
        self.assertEqual(
            [(row["caller"], row["because"]) for row in route["callers"]],
            [(f"account-desk-{c}", "the route names it") for c in ("bogota", "cali")],
        )

    def test_fingerprint(self):
        """Guards against a condemned request that operators cannot look up."""
        quarantine = self.state.component(Quarantine)
        self.assertIsNone(explain(self.state, "fingerprint", "f", 0.0))
        quarantine.on_crash("archivo-01-a", ("f",), 0.0)
        found = explain(self.state, "fingerprint", "f", 1.0)["quarantine"]
        self.assertEqual(found["verdict"], "suspect")
        self.assertEqual(found["crashes"][0]["replica"], "archivo-01-a")
        quarantine.on_crash("archivo-02-b", ("f",), 1.0)
        found = explain(self.state, "fingerprint", "f", 1.0)["quarantine"]
        self.assertEqual(found["treatment"], "refused with JDS-2007")


class TestMetricsSettings(unittest.TestCase):
    """Effect of the metrics section of the settings."""

    def test_modes(self):
        """Guards against metrics that are exported although they are off."""
        base = settings()
        for mode, is_shown in ((MetricsMode.SCRAPE, True), (MetricsMode.OFF, False)):
            metrics = MetricsSettings(mode=mode)
            cfg = Settings(host=base.host, platform=base.platform, metrics=metrics)
            instruments = make_metrics(cfg)
            instruments.count(Count("hedges_sent"))
            self.assertEqual("hedges_sent" in instruments.render(), is_shown)
            instruments.close()
