"""Run a small fleet on loopback until interrupted, for the operator documentation.

The fleet has the backend servers of the Envases example as stand-ins, a stand-in of the
configuration service and of the host list, and three entry hosts. A control port,
which exists only here, stands in for the platform: it publishes bundles and injects
failures of backend servers, hosts and platform services.
"""

import argparse
import asyncio
import random
import shutil
import signal
import sys
from pathlib import Path

import logbook
import uvloop
from aiohttp import web

from examples._world import (
    EXAMPLES,
    LOOPBACK,
    MEDIAN_SERVICE_MS,
    STRAGGLER_FRACTION,
    wait_until,
)
from examples.demo import ENVASES_ITEMS, make_items_function
from jackdawsill.cli._bundles import write_bundle
from jackdawsill.core import HostEntry, SendPeer
from jackdawsill.daemon import HostProcess
from jackdawsill.logs import JsonHandler
from jackdawsill.objects import MANIFEST_KEY, check_set
from jackdawsill.settings import HostSettings, PlatformSettings, Settings
from jackdawsill.standins import (
    BackendScript,
    BackendServer,
    ConfigService,
    HostList,
)

CONTROL_PORT = 7190
# Host n listens for callers at 7080 + 10 n, operators at 7081 + 10 n, peers at
# 7082 + 10 n.
FIRST_PORT = 7080
DOMAINS = ("bogota", "medellin", "cali")
READY_TIMEOUT_S = 15.0
POISON_TEXT = b"poison"  # a body that contains it crashes each backend server
SLOW_MS = 200.0
# Actions on a backend server; usual ends the other ones that change its answers.
ACTIONS = ("usual", "drain", "shed", "slow", "crash", "restart")


class Refused(Exception):
    """A control request has an unknown command, name or action."""


class LocalFleet:
    """Three entry hosts with their stand-ins, and the control port."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.config = ConfigService()
        self.host_list = HostList()
        self.backends: dict[str, BackendServer] = {}
        self.hosts: dict[str, HostProcess] = {}
        self.n_crashes_handled: dict[str, int] = {}
        self.commands = {
            "publish": self._publish,
            "backend": self._backend,
            "config-service": self._config_service,
            "stop-host": self._stop_host,
            "start-host": self._start_host,
            "kill-host": self._kill_host,
            "split-host": self._split_host,
            "heal-host": self._heal_host,
        }

    async def start(self) -> None:
        """Start all servers and hosts and wait until all hosts serve callers."""
        await self.config.start()
        await self.host_list.start()
        objects = check_set(EXAMPLES / "envases").objects
        for replica in objects.replicas.values():
            group = objects.groups[objects.services[replica.service].group]
            script = BackendScript(
                n_slots=group.n_slots,
                max_connections=group.max_connections,
                connect_ms=group.connect_ms,
                median_ms=MEDIAN_SERVICE_MS,
                straggler_fraction=STRAGGLER_FRACTION,
                poison=POISON_TEXT,
                items=make_items_function(ENVASES_ITEMS),
            )
            server = BackendServer(script, random.Random(replica.port))
            server.listener.port_ = replica.port
            await server.start()
            self.backends[replica.name] = server
        self._publish(str(self.directory))
        for n in range(len(DOMAINS)):
            await self._start_host(f"entrada-{n + 1}")
        await wait_until("all hosts serve", self._all_ready, READY_TIMEOUT_S)

    async def stop(self) -> None:
        """Stop all hosts and servers, without a graceful stop."""
        for host in self.hosts.values():
            await host.stop()
        for server in self.backends.values():
            await server.stop()
        await self.config.stop()
        await self.host_list.stop()

    async def control(self, request: web.BaseRequest) -> web.Response:
        """Handle a control request `POST /<command>/<argument>...`.

        The response has status 400 if the request is refused.
        """
        _, name, *arguments = request.path.split("/")
        try:
            if request.method != "POST" or name not in self.commands:
                raise Refused(f"commands are {', '.join(self.commands)}")
            if name == "publish":
                arguments = ["/".join(arguments)]
            result = self.commands[name](*arguments)
            text = await result if asyncio.iscoroutine(result) else result
        except (Refused, KeyError, TypeError, OSError) as exc:
            return web.Response(status=400, text=f"refused: {exc}\n")
        return web.Response(text=f"{text}\n")

    def _publish(self, directory: str) -> str:
        """Publish the files of a bundle directory, the manifest last.

        Hosts read the values that a manifest names, so these must exist before it.
        """
        path = Path(directory)
        values = {file.name: file.read_bytes() for file in sorted(path.glob("value-*"))}
        values[MANIFEST_KEY] = (path / MANIFEST_KEY).read_bytes()
        self.config.publish(values)
        return f"published {len(values)} values of {path}"

    async def _backend(self, name: str, action: str) -> str:
        """Apply an action to a backend server, or to all with a prefix `name*`."""
        prefix = name.removesuffix("*")
        matching = [
            backend_name
            for backend_name in self.backends
            if backend_name == name
            or (prefix != name and backend_name.startswith(prefix))
        ]
        if not matching:
            raise Refused(f"no backend server is named {name}")
        if action not in ACTIONS:
            raise Refused(f"actions are {', '.join(ACTIONS)}")
        for backend_name in matching:
            await self._apply_action(backend_name, action)
        return f"{len(matching)} backend servers: {action}"

    async def _apply_action(self, name: str, action: str) -> None:
        """Apply an action to one backend server."""
        server = self.backends[name]
        if action == "crash":
            server.crash()
        elif action == "restart":
            # Restart only a crashed server. A poison request crashes servers as well,
            # so the server's own count of crashes is compared.
            if self.n_crashes_handled.get(name, 0) < server.n_crashes_:
                await server.start()
            self.n_crashes_handled[name] = server.n_crashes_
        else:
            server.script.draining = action == "drain"
            server.script.shed = action == "shed"
            server.script.median_ms = SLOW_MS if action == "slow" else MEDIAN_SERVICE_MS

    def _config_service(self, action: str) -> str:
        """Make the configuration service fail, serve stale values or work as usual."""
        if action not in ("down", "stale", "usual"):
            raise Refused("actions are down, stale and usual")
        self.config.down = action == "down"
        if action == "stale":
            self.config.freeze()
        elif action == "usual":
            self.config.unfreeze()
        return f"configuration service: {action}"

    async def _stop_host(self, name: str) -> str:
        """Stop a host gracefully and wait until it has exited."""
        host = self.hosts[name]
        host.request_stop()
        await host.exited.wait()
        del self.hosts[name]
        self._update_host_list()
        return f"{name} ended"

    async def _kill_host(self, name: str) -> str:
        """End a host without a graceful stop; the host list still contains it."""
        await self.hosts.pop(name).stop()
        return f"{name} is killed"

    def _split_host(self, name: str) -> str:
        """Drop all messages from a host to other hosts; it still receives theirs."""
        self.hosts[name].driver.effect_handlers[SendPeer] = lambda effect: None
        return f"{name} reaches no other host"

    def _heal_host(self, name: str) -> str:
        """End `_split_host`: deliver the messages of the host to other hosts again."""
        host = self.hosts[name]
        host.driver.effect_handlers[SendPeer] = host.links.send
        return f"{name} reaches other hosts"

    async def _start_host(self, name: str) -> str:
        """Start a host; refused if it runs or is not part of the fleet."""
        n = int(name.removeprefix("entrada-")) - 1
        if name in self.hosts or not 0 <= n < len(DOMAINS):
            raise Refused(f"{name} runs already or is not one of the fleet")
        port = FIRST_PORT + 10 * n
        cfg = HostSettings(
            name=name,
            failure_domain=DOMAINS[n],
            region="colombia",
            address=LOOPBACK,
            caller_port=port,
            operator_port=port + 1,
            peer_port=port + 2,
            fleet_key="key of the local fleet",
        )
        platform = PlatformSettings(
            config_url=self.config.url, host_list_url=self.host_list.url
        )
        host = HostProcess(Settings(host=cfg, platform=platform))
        await host.start()
        self.hosts[name] = host
        self._update_host_list()
        return f"{name} started"

    def _update_host_list(self) -> None:
        """Set the host list to the hosts that run."""
        self.host_list.set_entries(
            HostEntry(name, host.peer_address, host.cfg.host.failure_domain)
            for name, host in self.hosts.items()
        )

    async def _all_ready(self) -> bool:
        return all(host.caller_server.ready_ for host in self.hosts.values())


async def run(directory: Path, control_port: int) -> int:
    """Run the fleet until SIGTERM or SIGINT; return the exit status."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    fleet = LocalFleet(directory)
    control = web.ServerRunner(web.Server(fleet.control))
    try:
        await fleet.start()
        await control.setup()
        await web.TCPSite(control, LOOPBACK, control_port).start()
        print(
            f"ready: {len(fleet.hosts)} hosts, control port {control_port}", flush=True
        )
        await stop_requested.wait()
    finally:
        await control.cleanup()
        await fleet.stop()
    return 0


def prepare(directory: Path) -> Path:
    """Write the object files and their bundle of generation 1; return its folder."""
    for name in ("objects", "bundle"):
        shutil.rmtree(directory / name, ignore_errors=True)
    objects = directory / "objects"
    shutil.copytree(EXAMPLES / "envases", objects)
    write_bundle(check_set(objects), 1, directory / "bundle")
    return directory / "bundle"


def main(argv: list[str] | None = None) -> int:
    """Run the fleet; write its objects, bundle and log to `--directory`."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--directory", type=Path, default=Path("/tmp/local-fleet"))
    parser.add_argument("--control-port", type=int, default=CONTROL_PORT)
    args = parser.parse_args(argv)
    args.directory.mkdir(parents=True, exist_ok=True)
    bundle = prepare(args.directory)
    with (
        (args.directory / "log").open("w", buffering=1) as log,
        JsonHandler(log, level=logbook.INFO).applicationbound(),
    ):
        return uvloop.run(run(bundle, args.control_port))


if __name__ == "__main__":
    sys.exit(main())
