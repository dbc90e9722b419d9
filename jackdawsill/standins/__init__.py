"""Scripted stand-ins for the systems that a host talks to, on loopback."""

from jackdawsill.standins._backend import (
    BackendScript,
    BackendServer,
    Run,
    WrongAnswer,
    default_items,
)
from jackdawsill.standins._config_service import ConfigService
from jackdawsill.standins._host_list import HostList
from jackdawsill.standins._listener import LOOPBACK, Listener

__all__ = [
    "LOOPBACK",
    "BackendScript",
    "BackendServer",
    "ConfigService",
    "HostList",
    "Listener",
    "Run",
    "WrongAnswer",
    "default_items",
]
