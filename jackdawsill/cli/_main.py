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
EXIT_INTERRUPTED = 130  # as shells report SIGINT: 128 + 2


def _print_errors(errors: Iterable[JackdawsillError]) -> int:
    """Print errors one per line; return the exit status."""
    for error in errors:
        text = str(error)
        # The text of an IniError already has its file, line and code.
        if not isinstance(error, IniError):
            text = f"{error.code_text} {error.message}"
        print(one_line(text), file=sys.stderr)
    return EXIT_ERROR


def main(argv: list[str] | None = None) -> int:
    """Run one command; print errors to stderr and return the exit status.

    Fire gives status 2 for an unknown command or wrong arguments.
    """
    arguments = sys.argv[1:] if argv is None else argv
    # Fire would take the argument after a bare `--json` as the value of the flag.
    arguments = ["--json=True" if word == "--json" else word for word in arguments]
    try:
        fire.Fire(COMMANDS, command=arguments, name="jackdawsillctl")
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
        # The process that reads stdout has exited. Redirect stdout to /dev/null,
        # because the interpreter flushes it at exit and would fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_ERROR
    except Exception as exc:
        # Operators see a code and a message, never a traceback.
        return _print_errors([InternalFailure(f"{type(exc).__name__}: {exc}")])
    return 0
