"""Graceful stop of a host."""

from jackdawsill.stopping._stopping import Phase, Stopping

__all__ = ["Phase", "Stopping"]
