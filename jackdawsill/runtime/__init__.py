"""The loop that feeds events to the reducer and carries out its effects."""

from jackdawsill.runtime._driver import Driver
from jackdawsill.runtime._errors import InternalFault
from jackdawsill.runtime._gc import tune_gc

__all__ = ["Driver", "InternalFault", "tune_gc"]
