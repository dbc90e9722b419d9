"""Tests of the instruments and the latency histograms."""

import random
import re
import threading
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path

from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import (
    ExportMetricsServiceRequest,
)

import jackdawsill
from jackdawsill.core import Count, Observe
from jackdawsill.metrics import (
    METRICS,
    HistogramCopy,
    HistogramInvalid,
    Instruments,
    LatencyHistograms,
    MetricKind,
    MetricsMode,
    MetricsSettings,
    register_metric,
)
from jackdawsill.metrics._instruments import MAX_LABEL_SETS

register_metric("test_answers", MetricKind.COUNTER, "1", "Answers.", ("caller",))
register_metric("test_latency", MetricKind.HISTOGRAM, "s", "Latency.")


class TestInstruments(unittest.TestCase):
    """Metrics that are scraped or pushed."""

    def test_scrape(self):
        """Guards against metrics without a value, unit or description."""
        instruments = Instruments(MetricsSettings())
        instruments.count(Count("test_answers", 2.0, (("caller", "ana"), ("x", "y"))))
        instruments.observe(Observe("test_latency", 0.3))
        text = instruments.render()
        self.assertIn('jackdawsill_test_answers_total{caller="ana"} 2.0', text)
        self.assertIn("# HELP jackdawsill_test_answers_total Answers.", text)
        self.assertIn('test_latency_seconds_bucket{le="0.34"} 1.0', text)
        instruments.close()

    def test_label_sets_are_bounded(self):
        """Guards against memory that grows with label values from requests."""
        instruments = Instruments(MetricsSettings())
        for i in range(MAX_LABEL_SETS + 5):
            instruments.count(Count("test_answers", 1.0, (("caller", f"c{i}"),)))
        text = instruments.render()
        self.assertIn('test_answers_total{caller="other"} 5.0', text)
        merged = 'metrics_labels_merged_total{metric="test_answers"} 5.0'
        self.assertIn(merged, text)
        instruments.close()

    def test_invalid_records_are_dropped_and_counted(self):
        """Guards against an exception in the daemon from a wrong record.

        A component may misspell a metric, use the wrong effect or a negative value.
        """
        instruments = Instruments(MetricsSettings())
        instruments.count(Count("no_such_metric"))
        instruments.observe(Observe("test_answers", 1.0))
        instruments.count(Count("test_answers", -1.0))
        text = instruments.render()
        self.assertIn("metrics_unregistered_total 3.0", text)
        instruments.close()

    def test_conflicting_registration(self):
        """Guards against two components that use one name for different metrics."""
        with self.assertRaises(ValueError):
            register_metric("test_answers", MetricKind.COUNTER, "1", "Others.")
        self.assertTrue(all(spec.description for spec in METRICS.values()))

    def test_all_metrics_of_the_components_are_registered(self):
        """Guards against metrics that are dropped because they are not registered."""
        package = Path(jackdawsill.__file__).parent
        used = set()
        for path in package.rglob("*.py"):
            if "tests" not in path.parts:
                text = path.read_text(encoding="utf-8")
                used |= set(re.findall(r'(?:Count|Observe)\(\s*"(\w+)"', text))
        self.assertGreater(len(used), 10)
        self.assertEqual(used - METRICS.keys(), set())

    def test_push(self):
        """Guards against a wrong path or encoding, and totals that are never pushed."""
        bodies = []

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self):
                body = self.rfile.read(int(self.headers["Content-Length"]))
                bodies.append((self.path, body))
                self.send_response(200)
                self.end_headers()

            def log_message(self, *args):
                pass

        server = HTTPServer(("127.0.0.1", 0), Handler)
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        try:
            url = f"http://127.0.0.1:{server.server_port}/v1/metrics"
            settings = MetricsSettings(MetricsMode.PUSH, url, 3600.0, "h1")
            instruments = Instruments(settings)
            instruments.count(Count("test_answers", 3.0, (("caller", "ana"),)))
            instruments.close()
        finally:
            server.shutdown()
            thread.join()
            server.server_close()
        path, body = bodies[0]
        request = ExportMetricsServiceRequest.FromString(body)
        metric = request.resource_metrics[0].scope_metrics[0].metrics[0]
        point = metric.sum.data_points[0]
        self.assertEqual((path, metric.name), ("/v1/metrics", "test_answers"))
        self.assertEqual(point.as_double or point.as_int, 3)


class TestLatencyHistograms(unittest.TestCase):
    """Quantiles over several hosts."""

    def test_merge_is_exact(self):
        """Guards against quantiles that depend on which host handled a query."""
        rng = random.Random(5)
        hosts = [LatencyHistograms() for _ in range(3)]
        single, merged = LatencyHistograms(), LatencyHistograms()
        for _ in range(3000):
            latency_s = rng.lognormvariate(-4.0, 1.0)
            rng.choice(hosts).record("ana", "search", latency_s)
            single.record("ana", "search", latency_s)
        for host in hosts:
            merged.merge(host.encoded_histograms())
        self.assertEqual(merged.n_recorded("ana", "search"), 3000)
        for quantile in (0.5, 0.9, 0.99, 0.999, 1.0):
            self.assertEqual(
                merged.quantile_s("ana", "search", quantile),
                single.quantile_s("ana", "search", quantile),
            )

    def test_out_of_range_latencies_and_histogram_limit(self):
        """Guards against an exception from a latency out of range.

        Also guards against memory that grows with the names of callers.
        """
        histograms = LatencyHistograms(max_histograms=2)
        for i, latency_s in enumerate((-1.0, 0.0, 1e9, 0.1)):
            histograms.record(f"c{i}", "search", latency_s)
        self.assertEqual(len(histograms.histograms_), 3)
        self.assertEqual(histograms.n_recorded("other", "other"), 2)
        self.assertIsNone(histograms.quantile_s("nobody", "search", 0.5))

    def test_invalid_histograms(self):
        """Guards against an invalid histogram of a host that is merged in part."""
        good = LatencyHistograms()
        good.record("ana", "search", 0.1)
        valid = good.encoded_histograms()
        for encoded in ("", "?", "AAAA", valid[0].encoded[:-9]):
            merged = LatencyHistograms()
            with self.assertRaises(HistogramInvalid):
                merged.merge([*valid, HistogramCopy("ana", "search", encoded)])
            self.assertEqual(merged.histograms_, {})
