"""Tests of the metrics of what a gateway has taken over."""

import unittest

from jackdawsill.gateway._state_metrics import render_state


class TestRenderState(unittest.TestCase):
    """Metrics by which hosts are told apart after a change."""

    def samples(self, sections):
        """Return the samples of the rendered text."""
        lines = render_state(lambda: sections).splitlines()
        return dict(line.rsplit(" ", 1) for line in lines if not line.startswith("#"))

    def test_versions_and_digests(self):
        """Guards against hosts that have missed a change and look like the others."""
        settings = {"digest": "a1", "file_digest": "b2", "file_valid": False}
        settings |= {"applied_s": 7.5, "waiting": ["host.name", "ports.peers"]}
        sections = {"routes": {"version": 24, "age_s": 3.0}, "settings": settings}
        samples = self.samples(sections)
        self.assertEqual(samples["jackdawsill_routes_version"], "24.0")
        self.assertEqual(samples["jackdawsill_settings_file_valid"], "0.0")
        self.assertEqual(samples["jackdawsill_settings_waiting"], "2.0")
        info = 'jackdawsill_settings_info{digest="a1",file_digest="b2"}'
        self.assertEqual(samples[info], "1.0")

    def test_unknown_state(self):
        """Guards against a version of 0 shown before the first configuration."""
        self.assertEqual(self.samples({"routes": {}, "news": {"age_s": None}}), {})
