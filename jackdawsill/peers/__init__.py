"""Typed messages between hosts and their encoding as msgpack streams."""

from jackdawsill.peers._codec import MAX_MESSAGE_BYTES, Decoder, encode
from jackdawsill.peers._errors import MessageInvalid, MessageTooLarge
from jackdawsill.peers._messages import MESSAGES, PeerMessage, register_message

__all__ = [
    "MAX_MESSAGE_BYTES",
    "MESSAGES",
    "Decoder",
    "MessageInvalid",
    "MessageTooLarge",
    "PeerMessage",
    "encode",
    "register_message",
]
