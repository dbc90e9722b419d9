"""Conversion of arbitrary field values to JSON values."""

import math
from collections.abc import Mapping
from typing import Any

# Limits on one field value: characters of a text, items of a collection and levels of
# nesting. They bound the length of a log line, also for bad input.
MAX_TEXT_CHARS = 2_000
MAX_COLLECTION_ITEMS = 100
MAX_NESTING = 4

_MAX_INT = 2**63  # larger integers are written as text


def safe_text(value: object) -> str:
    """Return `str(value)`, truncated to `MAX_TEXT_CHARS`; never raise."""
    try:
        if isinstance(value, bytes | bytearray):
            text = bytes(value[:MAX_TEXT_CHARS]).decode("utf-8", "backslashreplace")
        else:
            text = str(value)
        # `str()` may return a `str` subclass whose methods raise later; `join` makes a
        # plain `str`.
        text = "".join(text)
    except Exception:
        return f"<{type(value).__name__}: str() failed>"
    if len(text) > MAX_TEXT_CHARS:
        return text[:MAX_TEXT_CHARS] + "..."
    return text


def safe_value(value: Any, depth: int = 0) -> Any:
    """Convert any object to a JSON value; never raise."""
    try:
        return _convert(value, depth)
    except Exception:
        return safe_text(value)


def _convert(value: Any, depth: int) -> Any:
    if value is None or type(value) is bool:
        return value
    if type(value) is int and abs(value) < _MAX_INT:
        return value
    if type(value) is float and math.isfinite(value):
        return value
    if depth < MAX_NESTING:
        if isinstance(value, Mapping):
            pairs = list(value.items())[:MAX_COLLECTION_ITEMS]
            return {safe_text(key): safe_value(item, depth + 1) for key, item in pairs}
        if isinstance(value, list | tuple):
            return [
                safe_value(item, depth + 1) for item in value[:MAX_COLLECTION_ITEMS]
            ]
        if isinstance(value, set | frozenset):
            texts = sorted(safe_text(item) for item in value)
            return texts[:MAX_COLLECTION_ITEMS]
    return safe_text(value)
