"""Command-line tool `jackdawsillctl` for operators."""

from jackdawsill.cli._commands import COMMANDS
from jackdawsill.cli._main import main

__all__ = ["COMMANDS", "main"]
