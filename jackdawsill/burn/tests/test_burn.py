"""Tests of error budgets and burn reports."""

import base64
import json
import random
import re
import unittest

from jackdawsill.burn import (
    BurnReportInvalid,
    ErrorBudgets,
    Measure,
    burn_report,
    merge_reports,
    render_html,
    render_json,
    render_text,
)
from jackdawsill.core import HostState, QueryFinished, reduce
from jackdawsill.metrics import LatencyHistograms
from jackdawsill.objects import Objective, ObjectSet

OBJECTIVES = {"o": Objective("o", "search", 340, 0.99, 0.999, 0.05)}


def query(caller="ana", latency_s=0.1, n_covered=10, n_sent=10):
    """Return the event of a finished query over ten shards."""
    return QueryFinished(caller, "search", latency_s, 10, n_covered, 10, n_sent)


def budget(report, measure, caller="ana"):
    """Return the budget of a measure and a caller in a report."""
    return next(b for b in report.budgets if (b.measure, b.caller) == (measure, caller))


class TestErrorBudgets(unittest.TestCase):
    """Guards the counts and budgets of one host."""

    def setUp(self):
        self.budgets = ErrorBudgets("h1")

    def record_queries(self, n, now, **fields):
        for _ in range(n):
            self.budgets.on_query(query(**fields), OBJECTIVES, now)

    def report(self, now):
        return merge_reports([self.budgets.report(OBJECTIVES, 3, now)])

    def test_burn_rate_and_exhaustion(self):
        """Guards against a bad query that is not counted, which hides an alarm.

        Queries are slow, unanswered or partial, or send extra sub-requests.
        """
        self.record_queries(980, 50_000.0)
        self.record_queries(15, 50_000.0, latency_s=0.35, n_sent=11)
        self.record_queries(5, 50_000.0, latency_s=None, n_covered=9)
        report = self.report(50_000.0)
        # 20 of 1000 queries are slow, and 1% is allowed.
        latency = budget(report, Measure.LATENCY)
        self.assertAlmostEqual(latency.burn_rates[0], 2.0)
        self.assertAlmostEqual(latency.left, -1.0)
        self.assertEqual(latency.exhausted_in_s, 0.0)
        # 5 of 10,000 shards are missing, and 0.1% is allowed.
        coverage = budget(report, Measure.COVERAGE)
        self.assertAlmostEqual(coverage.burn_rates[2], 0.5)
        self.assertAlmostEqual(coverage.exhausted_in_s, 21_600.0)
        # 15 of 10,000 sub-requests are extra, and 5% is allowed.
        extra = budget(report, Measure.EXTRA_LOAD)
        self.assertAlmostEqual(extra.bad_fractions[0], 15 / 10_000)
        self.assertAlmostEqual(extra.burn_rates[0], 0.03)

    def test_windows_expire(self):
        """Guards against errors that count after their window has passed."""
        self.record_queries(10, 50_000.0, latency_s=1.0)
        self.record_queries(10, 50_400.0)
        latency = budget(self.report(50_400.0), Measure.LATENCY)
        self.assertEqual(latency.bad_fractions, (0.0, 0.5, 0.5))
        latency = budget(self.report(54_100.0), Measure.LATENCY)
        self.assertEqual(latency.bad_fractions, (0.0, 0.0, 0.5))
        self.assertEqual(latency.exhausted_in_s, 0.0)
        latency = budget(self.report(80_000.0), Measure.LATENCY)
        self.assertIsNone(latency.exhausted_in_s)
        self.assertEqual(latency.bad_fractions, (0.0, 0.0, 0.0))

    def test_memory_is_bounded(self):
        """Guards against memory that grows with the number of callers."""
        self.budgets = ErrorBudgets("h1", max_series=3)
        for i in range(10):
            self.record_queries(1, 100.0, caller=f"c{i}")
        # Three callers and the shared series.
        self.assertEqual(len(self.budgets.series_), 4)
        self.assertIn(("other", "search"), self.budgets.series_)
        # At the limit, series without a query in the longest window are dropped.
        self.record_queries(1, 100_000.0, caller="new")
        self.assertEqual(list(self.budgets.series_), [("new", "search")])

    def test_routes_without_objective_are_ignored(self):
        """Guards against counting queries of routes that have no objective."""
        record = QueryFinished("ana", "other-route", 0.1, 1, 1, 1, 1)
        self.budgets.on_query(record, OBJECTIVES, 1.0)
        self.assertEqual(self.report(1.0).budgets, [])

    def test_target_of_one(self):
        """Guards against a division by zero when an objective allows no error."""
        strict = {"o": Objective("o", "search", 340, 1.0, 1.0, 0.0)}
        self.budgets.on_query(query(n_sent=12), strict, 1.0)
        report = merge_reports([self.budgets.report(strict, 1, 1.0)])
        self.assertEqual(budget(report, Measure.LATENCY).burn_rates[0], 0.0)
        extra = budget(report, Measure.EXTRA_LOAD)
        self.assertEqual(extra.burn_rates[0], float("inf"))
        rows = json.loads(render_json(report))["budgets"]
        self.assertIsNone(rows[-1]["burn_rates"][0])
        self.assertIn("extra_load", render_html(report))


class TestMerge(unittest.TestCase):
    """Guards the merge of the reports of several hosts."""

    def test_merge_is_exact(self):
        """Guards against averaging rates, which gives idle hosts too much weight."""
        rng = random.Random(9)
        hosts = [ErrorBudgets(f"h{i}") for i in range(4)]
        whole = ErrorBudgets("all")
        for _ in range(2000):
            record = query(
                caller=rng.choice(["ana", "ben"]),
                latency_s=rng.choice([0.1, 0.2, 0.5, None]),
                n_covered=rng.randint(8, 10),
                n_sent=rng.randint(10, 12),
            )
            now = 50_000.0 + rng.random() * 20_000.0
            rng.choice(hosts).on_query(record, OBJECTIVES, now)
            whole.on_query(record, OBJECTIVES, now)
        merged = merge_reports([h.report(OBJECTIVES, 1, 70_000.0) for h in hosts])
        alone = merge_reports([whole.report(OBJECTIVES, 1, 70_000.0)])
        self.assertEqual(merged.budgets, alone.budgets)
        self.assertEqual(merged.hosts, ("h0", "h1", "h2", "h3"))

    def test_newest_objectives_apply(self):
        """Guards against mixing objectives while hosts have different object sets."""
        older, newer = ErrorBudgets("h1"), ErrorBudgets("h2")
        for budgets in (older, newer):
            budgets.on_query(query(n_sent=11), OBJECTIVES, 1.0)
        changed = {"o": Objective("o", "search", 340, 0.9, 0.9, 0.2)}
        reports = [older.report(OBJECTIVES, 3, 1.0), newer.report(changed, 4, 1.0)]
        for order in (reports, reports[::-1], [*reports, reports[0]]):
            merged = merge_reports(json.loads(json.dumps(order)))
            extra = budget(merged, Measure.EXTRA_LOAD)
            self.assertEqual((extra.allowed, extra.bad_fractions[0]), (0.2, 0.1))

    def test_invalid_reports(self):
        """Guards against wrong figures from a malformed report, and from no report."""
        good = ErrorBudgets("h1").report(OBJECTIVES, 1, 1.0)
        for broken in ({}, {**good, "generation": "x"}, {**good, "series": [{}]}):
            with self.assertRaises(BurnReportInvalid):
                merge_reports([good, broken])
        self.assertEqual(merge_reports([]).budgets, [])


class TestHostReport(unittest.TestCase):
    """Guards the path from a finished query to the merged report."""

    def test_latencies_of_all_hosts(self):
        """Guards against quantiles of one host instead of the whole fleet.

        A host without budgets and a damaged histogram are covered, too.
        """
        reports = []
        for name, latency_s in (("h1", 0.1), ("h2", 0.3)):
            state = HostState(name, "bogota", random.Random(1))
            self.assertEqual(burn_report(state, 1.0)["series"], [])
            state.attach(ErrorBudgets(name))
            state.attach(LatencyHistograms())
            state.objects_ = ObjectSet(4, "d", objectives=OBJECTIVES)
            reduce(state, query(latency_s=latency_s), 1.0)
            reduce(state, query(latency_s=None), 1.0)
            reports.append(json.loads(json.dumps(burn_report(state, 1.0))))
        merged = merge_reports(reports)
        latency = merged.latencies[0]
        self.assertEqual((latency.n, merged.generation), (2, 4))
        self.assertAlmostEqual(latency.p50_s, 0.1, delta=0.002)
        self.assertAlmostEqual(latency.p99_s, 0.3, delta=0.005)
        self.assertEqual(budget(merged, Measure.LATENCY).bad_fractions[0], 0.5)
        self.assertRegex(render_text(merged), r"ana +search +2 +100\.\d ms")
        self.assertIn("<h2>latencies</h2>", render_html(merged))
        reports[0]["histograms"][0]["encoded"] = "?"
        with self.assertRaises(BurnReportInvalid):
            merge_reports(reports)


class TestRender(unittest.TestCase):
    """Guards the rendered reports."""

    def test_text_json_and_html(self):
        """Guards against missing budgets or plots, and names that inject HTML."""
        budgets = ErrorBudgets("h1")
        for caller in ("ana", "<b>"):
            budgets.on_query(query(caller, latency_s=None), OBJECTIVES, 1.0)
        report = merge_reports([budgets.report(OBJECTIVES, 7, 1.0)])
        text = render_text(report)
        self.assertIn("1 hosts, generation 7, 6 budgets, 2 used up", text)
        self.assertRegex(text, r"ana +search +latency +1\.00% +100\.00 ")
        self.assertEqual(len(json.loads(render_json(report))["budgets"]), 6)
        page = render_html(report)
        self.assertNotIn("<b>", page)
        plots = re.findall(r"data:image/png;base64,([^\"]+)", page)
        self.assertEqual(len(plots), 3)
        for plot in plots:
            self.assertTrue(base64.b64decode(plot).startswith(b"\x89PNG"))
