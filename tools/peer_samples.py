"""Print samples of the messages between gateways, as this build encodes them.

`PYTHONPATH=CHECKOUT python tools/peer_samples.py` prints those of an older build.
`jackdawsill/relaying/tests/peer_samples.json` keeps them by the commit of the build.
"""

import json
import typing
from typing import Any

import msgspec

import jackdawsill.relaying  # noqa: F401  registers the messages
from jackdawsill.peers import MESSAGES, encode

_SCALARS = {int: 7, float: 1.5, str: "x", bytes: b"x", bool: True}


def make_sample(kind: Any) -> Any:
    """Return a value of a type in which all fields are set and no list is empty."""
    if kind in _SCALARS:
        return _SCALARS[kind]
    arguments = typing.get_args(kind)
    origin = typing.get_origin(kind)
    if origin is tuple:
        return (make_sample(arguments[0]),)
    if origin is dict:
        return {make_sample(arguments[0]): make_sample(arguments[1])}
    if arguments and origin is not None:
        # A field that may be None.
        return make_sample(next(a for a in arguments if a is not type(None)))
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        hints = typing.get_type_hints(kind)
        return kind(**{f: make_sample(hints[f]) for f in kind.__struct_fields__})
    # A type of a union, as in `int | None`.
    return make_sample(next(a for a in arguments if a is not type(None)))


def encode_samples() -> dict[str, str]:
    """Return the encoded sample of each message in hexadecimal digits, by its kind."""
    return {
        kind: encode(make_sample(message)).hex()
        for kind, message in sorted(MESSAGES.items())
        if message.__module__.startswith("jackdawsill.relaying")
    }


if __name__ == "__main__":
    print(json.dumps(encode_samples(), indent=1))
