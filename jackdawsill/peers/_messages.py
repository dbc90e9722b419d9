"""Base class and registry of the messages between hosts."""

from collections.abc import Callable
from typing import TypeVar

import msgspec


class PeerMessage(msgspec.Struct, frozen=True):
    """Base class of all messages between hosts.

    Each component registers its own messages.
    """


M = TypeVar("M", bound=type[PeerMessage])

MESSAGES: dict[str, type[PeerMessage]] = {}  # by kind


def register_message(kind: str) -> Callable[[M], M]:
    """Return a class decorator that registers a message class under its kind.

    The kind is sent with each message. Raises `ValueError` if it is already registered.
    """

    def decorate(message_type: M) -> M:
        if kind in MESSAGES:
            raise ValueError(f"message kind {kind} is already registered")
        MESSAGES[kind] = message_type
        return message_type

    return decorate
