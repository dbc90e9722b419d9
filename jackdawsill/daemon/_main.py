"""Command `jackdawsilld`: run one host until it is told to stop."""

import argparse
import asyncio
import signal
import sys
from collections.abc import Sequence

import logbook
import uvloop
from logbook.compat import redirected_logging

from jackdawsill.daemon._log_events import START_FAILED
from jackdawsill.daemon._process import HostProcess
from jackdawsill.logs import JsonHandler, log_event
from jackdawsill.runtime import tune_gc
from jackdawsill.settings import (
    SETTINGS_INVALID,
    SETTINGS_LOADED,
    LogSettings,
    LogStream,
    Settings,
    SettingsInvalid,
    load_settings,
)

EXIT_OK = 0
EXIT_START_FAILED = 1
EXIT_BAD_SETTINGS = 2


def log_handler(cfg: LogSettings) -> JsonHandler:
    """Return the handler for the configured level and stream."""
    stream = sys.stdout if cfg.stream is LogStream.STDOUT else sys.stderr
    return JsonHandler(stream, level=logbook.lookup_level(cfg.level.upper()))


async def run_host(cfg: Settings) -> int:
    """Run one host until its graceful stop is complete; return the exit status."""
    host = HostProcess(cfg)
    # Signal handlers are installed first, so that a signal does not kill the process
    # during its start.
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, host.request_stop)
    try:
        await host.start()
    except OSError as exc:
        log_event(START_FAILED, name=cfg.host.name, detail=repr(exc))
        await host.stop()
        return EXIT_START_FAILED
    tune_gc()
    await host.exited.wait()
    return EXIT_OK


def main(argv: Sequence[str] | None = None) -> int:
    """Check the settings and run the host; return the exit status."""
    parser = argparse.ArgumentParser(prog="jackdawsilld", description=__doc__)
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.add_argument("--check-settings", action="store_true")
    args = parser.parse_args(argv)
    try:
        cfg = load_settings(args.settings)
    except SettingsInvalid as exc:
        with JsonHandler(sys.stderr).applicationbound():
            for problem in exc.problems:
                log_event(SETTINGS_INVALID, file=args.settings, error=str(problem))
        return EXIT_BAD_SETTINGS
    if args.check_settings:
        print(f"{args.settings}: valid, host {cfg.host.name}")
        return EXIT_OK
    # Redirects the standard library's logging, which dependencies use, to this handler.
    with log_handler(cfg.logs).applicationbound(), redirected_logging():
        log_event(SETTINGS_LOADED, file=args.settings, host=cfg.host.name)
        return uvloop.run(run_host(cfg))
