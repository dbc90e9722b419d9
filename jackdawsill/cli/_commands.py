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
    fetch_from_hosts,
    normalize_host,
)
from jackdawsill.cli._errors import (
    BadArgument,
    CommandFailed,
    FileNotWritten,
    RequestNotFound,
)
from jackdawsill.cli._fleet import (
    fetch_in_batches,
    fleet_rows,
    read_hosts_file,
    render_fleet,
)
from jackdawsill.cli._render import in_print_order, render, render_diff
from jackdawsill.cli._trace import trace_request
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.ini import one_line
from jackdawsill.objects import CheckedSet, SetInvalid, check_set, diff

# It becomes a part of the path of a request.
_KIND_OR_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_MAX_TIMEOUT_S = 3_600.0


def _parse_flag(text: str) -> bool:
    if text not in ("True", "False"):
        raise BadArgument(f"{text!r} is not a value of a flag: use True or False")
    return text == "True"


def _parse_timeout(text: str) -> float:
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = 0.0
    if not 0 < timeout_s <= _MAX_TIMEOUT_S:
        message = (
            f"timeout_s must be above 0 and at most {_MAX_TIMEOUT_S:g}, not {text!r}"
        )
        raise BadArgument(message)
    return timeout_s


def _parse_generation(text: str) -> int:
    if not re.fullmatch(r"[0-9]{1,18}", text):
        raise BadArgument(f"generation must have 1 to 18 digits, not {text!r}")
    return int(text)


def _command(function: Callable[..., None]) -> Callable[..., None]:
    """Decorate a command so that the Fire library passes its arguments as text.

    Without this, Fire reads `007` as a number. `json`, `timeout_s` and `generation` are
    converted by the parsers above.
    """
    SetParseFn(str)(function)
    SetParseFn(_parse_flag, "json")(function)
    SetParseFn(_parse_timeout, "timeout_s")(function)
    SetParseFn(_parse_generation, "generation")(function)
    return function


def _print_json(value: Any) -> None:
    print(json_module.dumps(value, indent=2))


def _check_and_print_warnings(directory: str) -> CheckedSet:
    """Check a directory, print the warnings and return the checked object set."""
    checked = check_set(directory)
    for warning in checked.advice:
        print(one_line(str(warning)), file=sys.stderr)
    return checked


@_command
def check(directory: str) -> None:
    """Check the object files of a directory; print every error and warning."""
    checked = _check_and_print_warnings(directory)
    counts: dict[str, int] = {}
    for kind, _ in checked.places:
        counts[kind] = counts.get(kind, 0) + 1
    summary = ", ".join(f"{n} {kind}" for kind, n in sorted(counts.items()))
    print(f"valid: {summary}; digest {checked.objects.digest}")


@_command
def bundle(directory: str, generation: int, out: str) -> None:
    """Check the object files of DIRECTORY and write them to OUT as a bundle.

    Copy the file `manifest` last when you publish it. If OUT holds a different bundle,
    GENERATION must be higher than its generation, and snapshots must not change.
    """
    written = write_bundle(_check_and_print_warnings(directory), generation, Path(out))
    print(f"generation {written.generation}, digest {written.digest}")
    for key, data in written.items():
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
    difference = diff(*sets)
    if json:
        _print_json(msgspec.to_builtins(difference))
        return
    for line in render_diff(difference):
        print(line)


def _fetch_answers(
    hosts: tuple[str, ...], path: str, timeout_s: float
) -> tuple[list[HostAnswer], list[HostAnswer]]:
    """Return the answers of hosts, and the errors of those that failed."""
    if not hosts:
        raise BadArgument("name at least one host as address:operator_port")
    checked = list(dict.fromkeys(normalize_host(host) for host in hosts))
    answers = asyncio.run(fetch_from_hosts(checked, path, timeout_s))
    answered = [answer for answer in answers if answer.error is None]
    return answered, [answer for answer in answers if answer.error is not None]


def _print_answers(
    hosts: tuple[str, ...], path: str, json: bool, timeout_s: float
) -> None:
    """Print the answers of hosts; raise `CommandFailed` if any host failed."""
    answered, failed = _fetch_answers(hosts, path, timeout_s)
    if json:
        _print_json(
            {
                "answers": {answer.host: answer.answer for answer in answered},
                "errors": {answer.host: str(answer.error) for answer in failed},
            }
        )
    else:
        for answer in answered:
            print(f"host {answer.host}")
            for line in render(in_print_order(answer.answer)):
                print(f"  {line}")
    if failed:
        raise CommandFailed([answer.error for answer in failed])


@_command
def status(
    *hosts: str, json: bool = False, timeout_s: float = DEFAULT_TIMEOUT_S
) -> None:
    """Print the status of hosts, each given as address:operator_port."""
    _print_answers(hosts, "/status", json, timeout_s)


@_command
def fleet(
    *hosts: str,
    hosts_file: str = "",
    json: bool = False,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> None:
    """Print a row for each host, and mark those that differ from most of the others.

    Compared are the version of the routes and the settings in use. `--hosts_file FILE`
    names a file with one host a line. The timeout is that of each host.
    """
    named = [*hosts, *(read_hosts_file(hosts_file) if hosts_file else [])]
    if not named:
        raise BadArgument("name at least one host, or a file of hosts")
    checked = list(dict.fromkeys(normalize_host(host) for host in named))
    rows = fleet_rows(asyncio.run(fetch_in_batches(checked, "/status", timeout_s)))
    if json:
        _print_json(rows)
        return
    for line in render_fleet(rows):
        print(one_line(line))


@_command
def check_settings(path: str) -> None:
    """Check the settings file of a gateway; print every error."""
    # Imported here, because it loads the gateway, which other commands do not need.
    from jackdawsill.gateway import load_gateway_settings, settings_digest

    cfg = load_gateway_settings(path, is_reload=True)
    print(f"valid: host {cfg.host.name}; digest {settings_digest(cfg)}")


@_command
def explain(
    kind: str,
    name: str,
    *hosts: str,
    json: bool = False,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> None:
    """Print how hosts treat one item, for example `explain route NAME HOST`.

    KIND is caller, fingerprint, host, replica, route or service.
    """
    for text in (kind, name):
        if not _KIND_OR_NAME.fullmatch(text):
            raise BadArgument(f"{text!r} is not a valid kind or name")
    _print_answers(hosts, f"/explain/{kind}/{name}", json, timeout_s)


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
    answered, failed = _fetch_answers(hosts, "/burn", timeout_s)
    if answered:
        _print_burn_report([answer.answer for answer in answered], json, html)
    if failed:
        raise CommandFailed([answer.error for answer in failed])


def _print_burn_report(answers: list[Any], json: bool, html: str) -> None:
    """Print the merged report, and write its page to the file `html` if given."""
    # Imported here, because other commands do not need the metrics exporters that it
    # imports.
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
    """Print the log lines of a request, and the state changes of its hosts."""
    lines = trace_request(request_id, [Path(name) for name in files])
    if not lines:
        message = f"none of {len(files)} log files names request {request_id!r}"
        raise RequestNotFound(message)
    for line in lines:
        print(one_line(line.text()))


COMMANDS: dict[str, Callable[..., None]] = {
    "check": check,
    "bundle": bundle,
    "diff": diff_sets,
    "status": status,
    "fleet": fleet,
    "check-settings": check_settings,
    "explain": explain,
    "burn": burn,
    "trace": trace,
}
