"""Tests of the checks and statistics of the load tool; no load is sent."""

import unittest

from benchmarks._load import (
    LATENCY_TARGET_S,
    LoadResult,
    Sample,
    check_answer,
    summarize,
)


def answer(**changes):
    """Return the answer of a host to request b7 with body n = 7."""
    items = [{"id": s, "class": "public", "snapshot": "v1", "n": 7} for s in "ab"]
    body = {
        "request_id": "b7",
        "snapshot": "v1",
        "complete": False,
        "covered": ["a", "b"],
        "missing": [{"shard": "c", "reason": "shed"}],
        "items": items,
    }
    return {**body, **changes}


class TestCheckAnswer(unittest.TestCase):
    """Guards the detection of wrong and duplicate answers."""

    def check(self, **changes):
        sample = Sample(0.0, 0.01, 200, n_shards=3)
        check_answer(sample, answer(**changes), "b7", 7)
        return sample

    def test_correct_partial_answer(self):
        """Guards against a correct answer that is reported as wrong."""
        sample = self.check()
        self.assertFalse(sample.is_wrong or sample.has_duplicates)
        self.assertEqual(sample.n_covered, 2)
        self.assertFalse(sample.is_useful)

    def test_wrong_answers(self):
        """Guards against accepting a wrong request, snapshot or coverage."""
        items = answer()["items"]
        for changes in (
            {"request_id": "b8"},
            {"items": [{**items[0], "n": 8}, items[1]]},
            {"items": [{**items[0], "snapshot": "v2"}, items[1]]},
            {"items": items[:1]},
            {"complete": True},
            {"missing": []},
        ):
            with self.subTest(changes=changes):
                self.assertTrue(self.check(**changes).is_wrong)

    def test_doubled_answers(self):
        """Guards against a shard that is counted twice."""
        items = answer()["items"]
        self.assertTrue(self.check(items=[*items, items[0]]).has_duplicates)
        self.assertTrue(self.check(covered=["a", "a"]).has_duplicates)


class TestFigures(unittest.TestCase):
    """Guards the statistics of a measurement."""

    def test_only_complete_answers_in_time_are_useful(self):
        """Guards against refused, late or partial answers counted as useful."""
        load = LoadResult(4.0, 1.0, 2, send_lags_s=[0.0], elapsed_s=1.0)
        load.samples = [
            Sample(0.0, 0.1, 200, n_covered=2, n_shards=2),
            Sample(0.0, 0.1, 200, n_covered=1, n_shards=2),
            Sample(0.0, LATENCY_TARGET_S + 0.01, 200, n_covered=2, n_shards=2),
            Sample(0.0, 0.01, 429, n_shards=2, error="Overloaded/not_run"),
            Sample(0.0, 0.01, 0, n_shards=2, error="ServerDisconnectedError"),
        ]
        summary = summarize(load)
        self.assertEqual(summary["useful_per_s"], 1.0)
        self.assertEqual((summary["n_refused"], summary["n_failed"]), (1, 1))
        self.assertEqual(summary["n_answers"], 3)
        self.assertAlmostEqual(summary["in_time"], 2 / 3, places=4)
        self.assertAlmostEqual(summary["shards_covered"], 5 / 6, places=4)
