"""Commands of `jackdawsillctl`."""

import asyncio
import json as json_module
import re
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from fire.decorators import SetParseFn

from jackdawsill.cli._bundles import read_set, write_bundle
from jackdawsill.cli._client import (
    DEFAULT_TIMEOUT_S,
    HostAnswer,
    ask_hosts,
    check_host,
)
from jackdawsill.cli._errors import (
    BadArgument,
    CommandFailed,
    FileNotWritten,
    RequestNotFound,
)
from jackdawsill.cli._render import in_reading_order, render, render_diff
from jackdawsill.cli._trace import trace_request
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.ini import one_line
from jackdawsill.objects import CheckedSet, SetInvalid, check_set, diff

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_MAX_TIMEOUT_S = 3_600.0


def _flag(text: str) -> bool:
    if text not in ("True", "False"):
        raise BadArgument(f"{text!r} is no value of a flag")
    return text == "True"


def _timeout(text: str) -> float:
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = 0.0
    if not 0 < timeout_s <= _MAX_TIMEOUT_S:
        message = f"timeout_s must be above 0 to {_MAX_TIMEOUT_S:g}, not {text!r}"
        raise BadArgument(message)
    return timeout_s


def _generation(text: str) -> int:
    if not re.fullmatch(r"[0-9]{1,18}", text):
        raise BadArgument(f"generation must be a positive integer, not {text!r}")
    return int(text)


def _command(function: Callable[..., None]) -> Callable[..., None]:
    """Keep fire from reading names such as `007` as Python values."""
    SetParseFn(str)(function)
    SetParseFn(_flag, "json")(function)
    SetParseFn(_timeout, "timeout_s")(function)
    SetParseFn(_generation, "generation")(function)
    return function


def _print_json(value: Any) -> None:
    print(json_module.dumps(value, indent=2))


def _check(directory: str) -> CheckedSet:
    """Return a checked set after printing the remarks on it."""
    checked = check_set(directory)
    for advice in checked.advice:
        print(one_line(str(advice)), file=sys.stderr)
    return checked


@_command
def check(directory: str) -> None:
    """Check the object files of a directory; print every error and warning."""
    checked = _check(directory)
    counts: dict[str, int] = {}
    for kind, _ in checked.places:
        counts[kind] = counts.get(kind, 0) + 1
    summary = ", ".join(f"{n} {kind}" for kind, n in sorted(counts.items()))
    print(f"valid: {summary}; digest {checked.objects.digest}")


@_command
def bundle(directory: str, generation: int, out: str) -> None:
    """Check a directory and write its bundle; publish the file `manifest` last.

    OUT may hold the bundle published before: its generation must be lower and its
    snapshots must not change.
    """
    made = write_bundle(_check(directory), generation, Path(out))
    print(f"generation {made.generation}, digest {made.digest}")
    for key, data in made.items():
        print(f"{key} {len(data)} bytes")


@_command
def diff_sets(a: str, b: str, json: bool = False) -> None:
    """Print the objects that differ from A to B and the callers affected.

    A and B are directories of object files or of written bundles.
    """
    sets, errors = [], []
    for directory in (a, b):
        try:
            sets.append(read_set(Path(directory)))
        except SetInvalid as exc:
            errors.extend(exc.problems)
        except JackdawsillError as exc:
            errors.append(exc)
    if errors:
        raise CommandFailed(errors)
    found = diff(*sets)
    if json:
        _print_json(msgspec.to_builtins(found))
        return
    for line in render_diff(found):
        print(line)


def _answers(
    hosts: tuple[str, ...], path: str, timeout_s: float
) -> tuple[list[HostAnswer], list[HostAnswer]]:
    """Return what the hosts answer, and the failures."""
    if not hosts:
        raise BadArgument("name at least one host as address:operator_port")
    checked = list(dict.fromkeys(check_host(host) for host in hosts))
    answers = asyncio.run(ask_hosts(checked, path, timeout_s))
    good = [answer for answer in answers if answer.error is None]
    return good, [answer for answer in answers if answer.error is not None]


def _ask(hosts: tuple[str, ...], path: str, json: bool, timeout_s: float) -> None:
    """Print what the hosts answer; raise `CommandFailed` if any did not."""
    good, failed = _answers(hosts, path, timeout_s)
    if json:
        _print_json(
            {
                "answers": {answer.host: answer.answer for answer in good},
                "errors": {answer.host: str(answer.error) for answer in failed},
            }
        )
    else:
        for answer in good:
            print(f"host {answer.host}")
            for line in render(in_reading_order(answer.answer)):
                print(f"  {line}")
    if failed:
        raise CommandFailed([answer.error for answer in failed])


@_command
def status(
    *hosts: str, json: bool = False, timeout_s: float = DEFAULT_TIMEOUT_S
) -> None:
    """Print the status of hosts, each given as address:operator_port."""
    _ask(hosts, "/status", json, timeout_s)


@_command
def explain(
    kind: str,
    name: str,
    *hosts: str,
    json: bool = False,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> None:
    """Print how hosts treat one object, for example `explain route NAME HOST`."""
    for text in (kind, name):
        if not _NAME.fullmatch(text):
            raise BadArgument(f"{text!r} is not a kind or name")
    _ask(hosts, f"/explain/{kind}/{name}", json, timeout_s)


@_command
def burn(
    *hosts: str,
    json: bool = False,
    html: str = "",
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> None:
    """Print how fast the hosts together use up the error budgets.

    `--json` prints the merged report as JSON; `--html FILE` also writes a page with
    plots. Hosts that do not answer are missing from the report and named as errors.
    """
    good, failed = _answers(hosts, "/burn", timeout_s)
    if good:
        _burn([answer.answer for answer in good], json, html)
    if failed:
        raise CommandFailed([answer.error for answer in failed])


def _burn(answers: list[Any], json: bool, html: str) -> None:
    """Print the merged report and write its page."""
    # The burn report imports the metrics exporters, which other commands do not need.
    from jackdawsill.burn import merge_reports, render_html, render_json, render_text

    merged = merge_reports(answers)
    print(render_json(merged) if json else render_text(merged), end="")
    if not html:
        return
    try:
        Path(html).write_text(render_html(merged), encoding="utf-8")
    except OSError as exc:
        message = f"{html} cannot be written: {exc.strerror or exc}"
        raise FileNotWritten(message) from None


@_command
def trace(request_id: str, *files: str) -> None:
    """Print what log files say of a request, and what its hosts believed then."""
    lines = trace_request(request_id, [Path(name) for name in files])
    if not lines:
        message = f"{len(files)} files say nothing of request {request_id!r}"
        raise RequestNotFound(message)
    for line in lines:
        print(one_line(line.text()))


COMMANDS: dict[str, Callable[..., None]] = {
    "check": check,
    "bundle": bundle,
    "diff": diff_sets,
    "status": status,
    "explain": explain,
    "burn": burn,
    "trace": trace,
}
