"""Spread of configuration: newest accepted set on all hosts, never reverting."""

from jackdawsill.spread._spread import ConfigSpread

__all__ = ["ConfigSpread"]
