"""Tests of the message streams between hosts."""

import contextlib
import unittest
from dataclasses import dataclass

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from jackdawsill.peers import (
    MAX_MESSAGE_BYTES,
    MESSAGES,
    Decoder,
    MessageInvalid,
    MessageTooLarge,
    PeerMessage,
    encode,
)


@dataclass(slots=True, frozen=True)
class Nested:
    """Dataclass inside a test message."""

    name: str
    values: tuple[int, ...] = ()


class Sample(PeerMessage):
    """Message used by this test only."""

    serial: int
    data: bytes
    parts: tuple[Nested, ...] = ()
    note: str | None = None
    pairs: tuple[tuple[str, float], ...] = ()
    blobs: dict[str, bytes] | None = None


samples = st.builds(
    Sample,
    serial=st.integers(-(2**63), 2**63 - 1),
    data=st.binary(max_size=50),
    parts=st.lists(
        st.builds(
            Nested,
            name=st.text(max_size=5),
            values=st.lists(st.integers(0, 9)).map(tuple),
        ),
        max_size=3,
    ).map(tuple),
    note=st.none() | st.text(max_size=5),
    pairs=st.lists(
        st.tuples(st.text(max_size=3), st.floats(allow_nan=False)), max_size=3
    ).map(tuple),
    blobs=st.none()
    | st.dictionaries(st.text(max_size=3), st.binary(max_size=5), max_size=3),
)


class TestCodec(unittest.TestCase):
    """Guards against lost, changed or malformed messages in streams between hosts."""

    def setUp(self):
        MESSAGES["test-sample"] = Sample
        self.addCleanup(MESSAGES.pop, "test-sample")

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(samples, max_size=4), st.integers(1, 30))
    def test_round_trip_however_split(self, messages, step):
        """Guards against changed fields and messages lost when they are split."""
        data = b"".join(encode(message) for message in messages)
        decoder = Decoder()
        decoded = []
        for start in range(0, len(data), step):
            decoded.extend(decoder.feed(data[start : start + step]))
        self.assertEqual(decoded, messages)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=60))
    def test_random_bytes_give_typed_errors_only(self, data):
        """Guards against bytes of a peer that raise an untyped exception."""
        with contextlib.suppress(MessageInvalid, MessageTooLarge):
            list(Decoder().feed(data))

    def test_unknown_kind_is_ignored(self):
        """Guards against streams that fail when hosts run different versions."""
        known = Sample(1, b"x")
        data = msgpack.packb({"kind": "from-the-future", "x": 1}) + encode(known)
        decoder = Decoder()
        self.assertEqual(list(decoder.feed(data)), [known])
        self.assertEqual(decoder.n_ignored_, 1)

    def test_bad_messages_are_refused(self):
        """Guards against unchecked values that reach a component."""
        sample = {"kind": "test-sample", "serial": 1, "data": b""}
        for value in (
            [1, 2],
            {"serial": 1},
            {"kind": 5},
            {**sample, "serial": "1"},
            {**sample, "data": "text"},
            {**sample, "parts": [{"name": 5}]},
            {"kind": "test-sample", "serial": 1},
            {**sample, "pairs": [["a"]]},
        ):
            with self.subTest(value=value), self.assertRaises(MessageInvalid):
                list(Decoder().feed(msgpack.packb(value)))

    def test_deep_nesting_is_refused(self):
        """Guards against a stack overflow by nested arrays."""
        with self.assertRaises(MessageInvalid):
            list(Decoder().feed(b"\x91" * 100_000 + b"\x01"))

    def test_limit_of_one_message(self):
        """Guards against a peer that makes a host buffer unlimited bytes."""
        fits = Sample(1, b"x" * (MAX_MESSAGE_BYTES - 200))
        self.assertEqual(list(Decoder().feed(encode(fits) * 3)), [fits] * 3)
        over = {"kind": "test-sample", "serial": 1, "data": b"x" * MAX_MESSAGE_BYTES}
        data = msgpack.packb(over)
        with self.assertRaises(MessageTooLarge):
            list(Decoder().feed(data))
        with self.assertRaises(MessageTooLarge):
            encode(Sample(1, b"x" * MAX_MESSAGE_BYTES))
        decoder = Decoder()
        with self.assertRaises(MessageTooLarge):
            for start in range(0, len(data), 65_536):
                list(decoder.feed(data[start : start + 65_536]))

    def test_unregistered_class_is_not_sent(self):
        """Guards against sending a message that no peer can decode."""

        class Unknown(PeerMessage):
            pass

        with self.assertRaises(MessageInvalid):
            encode(Unknown())
