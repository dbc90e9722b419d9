"""Tests of bundles."""

import json
import random

from jackdawsill.objects import (
    MANIFEST_KEY,
    BadGeneration,
    BundleInvalid,
    Replica,
    SetInvalid,
    bundle,
    bundle_set,
    check_set,
    load_bundle,
)
from jackdawsill.objects._values import MAX_VALUE_BYTES
from jackdawsill.objects.tests.sets import SetTestCase


class TestBundle(SetTestCase):
    """Guards against accepting a partly published or damaged set."""

    def setUp(self):
        self.bundle = bundle(self.write(), 7)

    def add_replicas(self, objects, n_replicas):
        for number in range(n_replicas):
            name = f"a1-{number:04d}"
            address = f"10.1.{number // 250}.{number % 250}"
            objects.replicas[name] = Replica(name, "a1", address, 80, "cali")

    def test_loading_restores_the_set(self):
        """Guards against objects that are lost or changed by encoding."""
        loaded = load_bundle(self.bundle.manifest, self.bundle.values)
        checked = check_set(self.write()).objects
        self.assertEqual(loaded.generation, 7)
        checked.generation = 7
        self.assertEqual(loaded, checked)

    def test_manifest_is_published_last(self):
        """Guards against a manifest that names values not yet published."""
        self.assertEqual([*dict(self.bundle.items())][-1], MANIFEST_KEY)

    def test_damaged_values_are_rejected(self):
        """Guards against values that are missing, truncated or changed."""
        rng = random.Random(7)
        for key, data in self.bundle.values.items():
            changed = bytearray(data)
            changed[rng.randrange(len(data))] ^= 1
            for damaged in (None, b"", data[:-1], bytes(changed), data + b" "):
                values = dict(self.bundle.values)
                del values[key]
                if damaged is not None:
                    values[key] = damaged
                with self.assertRaises(BundleInvalid):
                    load_bundle(self.bundle.manifest, values)

    def test_bad_manifests_are_rejected(self):
        """Guards against a manifest that crashes the decoder or omits a value."""
        good = json.loads(self.bundle.manifest)
        entry = good["values"][0]
        for change in (
            {"format": 2},
            {"generation": 0},
            {"generation": "7"},
            {"digest": "0" * 64},
            {"values": []},
            {"values": [entry, entry]},
            {"values": [{**entry, "key": "../x"}]},
            {"values": [{**entry, "size": 0}]},
        ):
            with self.subTest(change), self.assertRaises(BundleInvalid):
                load_bundle(json.dumps({**good, **change}).encode(), self.bundle.values)
        for data in (b"", b"\xff", b"[" * 100_000, b"{}", self.bundle.manifest[:-1]):
            with self.assertRaises(BundleInvalid):
                load_bundle(data, self.bundle.values)

    def test_bundles_are_checked_by_the_rules(self):
        """Guards against a bundle that is consistent but holds an invalid set."""
        objects = check_set(self.write()).objects
        objects.replicas["a1-x"] = Replica("a1-x", "gone", "host", 0, "cali")
        bundled = bundle_set(objects, 8)
        with self.assertRaises(SetInvalid) as caught:
            load_bundle(bundled.manifest, bundled.values)
        codes = [problem.code for problem in caught.exception.problems]
        self.assertCountEqual(codes, [1109, 1110, 1111, 1114])

    def test_generation_must_be_a_positive_integer(self):
        """Guards against generations that hosts cannot order."""
        for generation in (0, -1, 1.5, "7", True, None):
            with self.subTest(generation), self.assertRaises(BadGeneration):
                bundle(self.write(), generation)

    def test_values_are_small_and_a_change_affects_few_values(self):
        """Guards against values over the limit, and boundaries that all move.

        If adding or removing one object moved all boundaries between values, every host
        would pull the whole set.
        """
        objects = check_set(self.write()).objects
        self.add_replicas(objects, 3_200)
        before = bundle_set(objects, 1)
        objects.replicas["a1-1000"] = Replica("a1-1000", "a1", "10.9.0.1", 80, "cali")
        del objects.replicas["a1-2000"]
        after = bundle_set(objects, 2)
        self.assertLessEqual(max(map(len, after.values.values())), MAX_VALUE_BYTES)
        self.assertLessEqual(len(after.values.keys() - before.values.keys()), 2)
        self.assertEqual(len(load_bundle(after.manifest, after.values).replicas), 3_201)

    def test_digest_ignores_the_layout_of_files(self):
        """Guards against different digests of equal sets in one generation."""
        directory = self.write()
        text = "".join(path.read_text() for path in sorted(directory.glob("*.ini")))
        for path in directory.glob("*.ini"):
            path.unlink()
        directory.joinpath("all.ini").write_text("# one file\n" + text)
        self.assertEqual(bundle(directory, 7), self.bundle)
