"""Typed messages between hosts."""

from jackdawsill.peers._messages import MESSAGES, PeerMessage, register_message

__all__ = ["MESSAGES", "PeerMessage", "register_message"]
