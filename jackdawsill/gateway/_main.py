"""Entry point of a gateway process; the caller supplies the platform's adapters."""

import asyncio
import os
import signal
import sys
from collections.abc import Callable

import uvloop

from jackdawsill.gateway import _log_events as log_events
from jackdawsill.gateway._process import GatewayProcess, boot_clock
from jackdawsill.gateway._reload import SettingsFile
from jackdawsill.gateway._settings import GatewaySettings, load_gateway_settings
from jackdawsill.gateway._store import BaseStore
from jackdawsill.http1 import BaseHeaderCodec
from jackdawsill.ini_check import SettingsInvalid
from jackdawsill.logs import JsonHandler, log_event
from jackdawsill.runtime import tune_gc

# Exit statuses of the process.
EXIT_OK = 0
EXIT_START_FAILED = 1
EXIT_BAD_SETTINGS = 2
# Interval of the check whether the settings file has changed without a SIGHUP; a check
# costs one system call.
SETTINGS_CHECK_INTERVAL_S = 2.0

MakeStore = Callable[[GatewaySettings], BaseStore]


async def watch_settings(settings_file: SettingsFile) -> None:
    """Reload the settings file whenever it has changed."""
    while True:
        await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
        if settings_file.has_changed():
            settings_file.reload()


async def run_gateway(
    cfg: GatewaySettings, path: str, header_codec: BaseHeaderCodec, store: BaseStore
) -> int:
    """Run one gateway until its graceful stop has ended; return the exit status."""
    gateway = GatewayProcess(cfg, header_codec, store)
    settings_file = SettingsFile(path, cfg, gateway.state, boot_clock)
    gateway.settings_status = settings_file.status
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, gateway.request_stop)
    loop.add_signal_handler(signal.SIGHUP, settings_file.reload)
    try:
        await gateway.start()
    except OSError as exc:
        log_event(log_events.GATEWAY_NOT_STARTED, detail=repr(exc))
        gateway.stop()
        return EXIT_START_FAILED
    watch_task = loop.create_task(watch_settings(settings_file))
    tune_gc()
    await gateway.exited.wait()
    watch_task.cancel()
    return EXIT_OK


def run(path: str, header_codec: BaseHeaderCodec, make_store: MakeStore) -> int:
    """Load the settings and run a gateway; return the exit status.

    All invalid settings of the file are logged, not only the first.
    """
    # A stalled log reader must not block the process.
    os.set_blocking(sys.stdout.fileno(), False)
    with JsonHandler(sys.stdout).applicationbound():
        try:
            cfg = load_gateway_settings(path)
        except SettingsInvalid as exc:
            for problem in exc.problems:
                log_event(log_events.GATEWAY_NOT_STARTED, detail=str(problem))
            return EXIT_BAD_SETTINGS
        return uvloop.run(run_gateway(cfg, path, header_codec, make_store(cfg)))
