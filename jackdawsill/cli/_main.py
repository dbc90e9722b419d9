"""Entry point of `jackdawsillctl`."""

import os
import sys
from collections.abc import Iterable

import fire
from fire.core import FireExit

from jackdawsill.cli._commands import COMMANDS
from jackdawsill.cli._errors import CommandFailed, InternalFailure
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.ini import IniError, IniErrors, one_line

EXIT_ERROR = 1
EXIT_INTERRUPTED = 130


def _print_errors(errors: Iterable[JackdawsillError]) -> int:
    """Print errors one per line; return the exit status."""
    for error in errors:
        text = str(error)
        if not isinstance(error, IniError):
            text = f"{error.code_text} {error.message}"
        print(one_line(text), file=sys.stderr)
    return EXIT_ERROR


def main(argv: list[str] | None = None) -> int:
    """Run one command; return the exit status, after printing errors to stderr."""
    command = sys.argv[1:] if argv is None else argv
    # Fire would take the argument after a bare `--json` as the value of the flag.
    command = ["--json=True" if word == "--json" else word for word in command]
    try:
        fire.Fire(COMMANDS, command=command, name="jackdawsillctl")
        sys.stdout.flush()
    except FireExit as exc:
        return exc.code
    except IniErrors as exc:
        return _print_errors(exc.problems)
    except CommandFailed as exc:
        return _print_errors(exc.errors)
    except JackdawsillError as exc:
        return _print_errors([exc])
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader of the pipe has ended. The interpreter flushes stdout once more at
        # exit, which must not fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_ERROR
    except Exception as exc:
        # Operators see a code and a message, never a traceback.
        return _print_errors([InternalFailure(f"{type(exc).__name__}: {exc}")])
    return 0
