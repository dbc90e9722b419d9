"""Driver of the reducer, and TCP links between hosts."""

from jackdawsill.runtime._addresses import (
    join_address,
    listening_socket,
    split_address,
)
from jackdawsill.runtime._driver import Driver
from jackdawsill.runtime._errors import InternalFault
from jackdawsill.runtime._gc import tune_gc
from jackdawsill.runtime._links import LinkSet
from jackdawsill.runtime._sockets import enable_tcp_keepalive

__all__ = [
    "Driver",
    "InternalFault",
    "LinkSet",
    "enable_tcp_keepalive",
    "join_address",
    "listening_socket",
    "split_address",
    "tune_gc",
]
