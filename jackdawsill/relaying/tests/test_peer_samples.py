"""Messages between hosts of this build and of earlier ones."""

import json
import unittest
from pathlib import Path
from typing import Any

import msgpack

from jackdawsill.peers import Decoder, encode
from tools.peer_samples import encode_samples

# Samples by the commit of the build that encoded them; "current" is this one.
SAMPLES_FILE = Path(__file__).with_name("peer_samples.json")
CURRENT = "current"


def shape(value: Any) -> Any:
    """Return the keys and types of a decoded sample."""
    if isinstance(value, dict):
        return {key: shape(item) for key, item in value.items()}
    if isinstance(value, list):
        return [shape(item) for item in value]
    return type(value).__name__


def missing(needed: Any, found: Any, path: str = "") -> list[str]:
    """Return what a reader that knows only one shape does not find in another."""
    if isinstance(needed, dict) and isinstance(found, dict):
        return [
            line
            for key, item in needed.items()
            for line in (
                missing(item, found[key], f"{path}.{key}")
                if key in found
                else [f"{path}.{key} is gone"]
            )
        ]
    if isinstance(needed, list) and isinstance(found, list):
        return missing(needed[0], found[0], f"{path}[]")
    return [] if needed == found else [f"{path} was {needed} and is {found}"]


class TestSamples(unittest.TestCase):
    """Hosts of an upgrade read each other's messages."""

    def setUp(self):
        self.samples = json.loads(SAMPLES_FILE.read_text(encoding="utf-8"))
        self.current = encode_samples()

    def earlier(self) -> list[tuple[str, str, bytes]]:
        """Return build, kind and bytes of all samples of earlier builds."""
        return [
            (build, kind, bytes.fromhex(digits))
            for build, samples in self.samples.items()
            if build != CURRENT
            for kind, digits in samples.items()
        ]

    def test_read_here(self):
        """Guards against a message of an earlier build that closes the link."""
        for build, kind, data in self.earlier():
            with self.subTest(build=build, kind=kind):
                (message,) = Decoder().feed(data)
                again = msgpack.unpackb(encode(message))
                before = msgpack.unpackb(data)
                self.assertEqual(missing(shape(before), shape(again)), [])
                self.assertEqual(again["kind"], kind)

    def test_read_there(self):
        """Guards against a message of this build that an earlier one cannot read.

        It ignores further fields, and needs those that it has, of the same types.
        """
        for build, kind, data in self.earlier():
            with self.subTest(build=build, kind=kind):
                self.assertIn(kind, self.current)
                here = msgpack.unpackb(bytes.fromhex(self.current[kind]))
                there = msgpack.unpackb(data)
                self.assertEqual(missing(shape(there), shape(here)), [])

    def test_changes_are_recorded(self):
        """Guards against a changed message without the steps in docs/upgrades.md."""
        self.assertEqual(self.current, self.samples[CURRENT])
