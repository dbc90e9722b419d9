"""The daemon: turns network input into events and carries out effects."""

from jackdawsill.daemon._build import build_state
from jackdawsill.daemon._main import main
from jackdawsill.daemon._process import HostProcess
from jackdawsill.runtime import Driver, tune_gc

__all__ = ["Driver", "HostProcess", "build_state", "main", "tune_gc"]
