"""Run a small fleet on loopback until interrupted, for the pages of operators.

The fleet has the backend servers of the Envases example as stand-ins, a stand-in of the
configuration service and of the host list, and three entry hosts. A control port,
which exists only here, plays the part of the platform: it publishes bundles, and makes
backend servers and platform services fail.
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

from examples._world import EXAMPLES, LOOPBACK, MEDIAN_MS, STRAGGLER_FRACTION, until
from examples.demo import ENVASES_ITEMS, items_of
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
READY_LIMIT_S = 15.0
POISON = b"poison"  # a body that contains it crashes each backend server
SLOW_MS = 200.0
ACTIONS = ("usual", "drain", "shed", "slow", "crash", "restart")


class Refused(Exception):
    """A control request names something that does not exist."""


class LocalFleet:
    """Three entry hosts with their stand-ins, and the control port."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.config = ConfigService()
        self.host_list = HostList()
        self.backends: dict[str, BackendServer] = {}
        self.hosts: dict[str, HostProcess] = {}
        self.n_restarts: dict[str, int] = {}
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
        """Start everything and wait until all hosts serve."""
        await self.config.start()
        await self.host_list.start()
        objects = check_set(EXAMPLES / "envases").objects
        for replica in objects.replicas.values():
            group = objects.groups[objects.services[replica.service].group]
            script = BackendScript(
                n_slots=group.n_slots,
                max_connections=group.max_connections,
                connect_ms=group.connect_ms,
                median_ms=MEDIAN_MS,
                straggler_fraction=STRAGGLER_FRACTION,
                poison=POISON,
                items=items_of(ENVASES_ITEMS),
            )
            server = BackendServer(script, random.Random(replica.port))
            server.listener.port_ = replica.port
            await server.start()
            self.backends[replica.name] = server
        self._publish(str(self.directory))
        for n in range(len(DOMAINS)):
            await self._start_host(f"entrada-{n + 1}")
        await until("all hosts serve", self._all_ready, READY_LIMIT_S)

    async def stop(self) -> None:
        """Stop everything at once."""
        for host in self.hosts.values():
            await host.stop()
        for server in self.backends.values():
            await server.stop()
        await self.config.stop()
        await self.host_list.stop()

    async def control(self, request: web.BaseRequest) -> web.Response:
        """Run one control request `POST /<command>/<argument>...`."""
        _, name, *arguments = request.path.split("/")
        try:
            if request.method != "POST" or name not in self.commands:
                raise Refused(f"commands are {', '.join(self.commands)}")
            if name == "publish":
                arguments = ["/".join(arguments)]
            done = self.commands[name](*arguments)
            text = await done if asyncio.iscoroutine(done) else done
        except (Refused, KeyError, TypeError, OSError) as exc:
            return web.Response(status=400, text=f"refused: {exc}\n")
        return web.Response(text=f"{text}\n")

    def _publish(self, directory: str) -> str:
        """Publish the files of a bundle directory, the manifest last."""
        path = Path(directory)
        values = {file.name: file.read_bytes() for file in sorted(path.glob("value-*"))}
        values[MANIFEST_KEY] = (path / MANIFEST_KEY).read_bytes()
        self.config.publish(values)
        return f"published {len(values)} values of {path}"

    async def _backend(self, name: str, action: str) -> str:
        """Change what a backend server does, or all with a prefix ending in `*`."""
        prefix = name.removesuffix("*")
        found = [
            known
            for known in self.backends
            if known == name or (prefix != name and known.startswith(prefix))
        ]
        if not found:
            raise Refused(f"no backend server is named {name}")
        if action not in ACTIONS:
            raise Refused(f"actions are {', '.join(ACTIONS)}")
        for known in found:
            await self._act(known, action)
        return f"{len(found)} backend servers: {action}"

    async def _act(self, name: str, action: str) -> None:
        """Change what one backend server does."""
        server = self.backends[name]
        if action == "crash":
            server.crash()
        elif action == "restart":
            # A poison request also crashes servers, so crashes are counted there.
            if self.n_restarts.get(name, 0) < server.n_crashes_:
                await server.start()
            self.n_restarts[name] = server.n_crashes_
        else:
            server.script.draining = action == "drain"
            server.script.shed = action == "shed"
            server.script.median_ms = SLOW_MS if action == "slow" else MEDIAN_MS

    def _config_service(self, action: str) -> str:
        """Let the configuration service go down, be stale or work as usual."""
        if action not in ("down", "stale", "usual"):
            raise Refused("actions are down, stale and usual")
        self.config.down = action == "down"
        if action == "stale":
            self.config.freeze()
        elif action == "usual":
            self.config.unfreeze()
        return f"configuration service: {action}"

    async def _stop_host(self, name: str) -> str:
        """Stop a host gracefully and wait for its end."""
        host = self.hosts[name]
        host.request_stop()
        await host.exited.wait()
        del self.hosts[name]
        self._list_hosts()
        return f"{name} ended"

    async def _kill_host(self, name: str) -> str:
        """End a host at once, without a graceful stop; the list still names it."""
        await self.hosts.pop(name).stop()
        return f"{name} is killed"

    def _split_host(self, name: str) -> str:
        """Lose all that a host sends to other hosts, as a network split does."""
        self.hosts[name].driver.effect_handlers[SendPeer] = lambda effect: None
        return f"{name} reaches no other host"

    def _heal_host(self, name: str) -> str:
        """End the split of a host."""
        host = self.hosts[name]
        host.driver.effect_handlers[SendPeer] = host.links.send
        return f"{name} reaches other hosts"

    async def _start_host(self, name: str) -> str:
        """Start a host that does not run."""
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
        self._list_hosts()
        return f"{name} started"

    def _list_hosts(self) -> None:
        """Let the host list name the hosts that run."""
        self.host_list.set_entries(
            HostEntry(name, host.peer_address, host.cfg.host.failure_domain)
            for name, host in self.hosts.items()
        )

    async def _all_ready(self) -> bool:
        return all(host.caller_server.ready_ for host in self.hosts.values())


async def run(directory: Path, control_port: int) -> int:
    """Run the fleet until the process is told to end."""
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    fleet = LocalFleet(directory)
    control = web.ServerRunner(web.Server(fleet.control))
    try:
        await fleet.start()
        await control.setup()
        await web.TCPSite(control, LOOPBACK, control_port).start()
        print(
            f"ready: {len(fleet.hosts)} hosts, control port {control_port}", flush=True
        )
        await ended.wait()
    finally:
        await control.cleanup()
        await fleet.stop()
    return 0


def prepare(directory: Path) -> Path:
    """Write the object files and their bundle of generation 1; return the bundle."""
    for name in ("objects", "bundle"):
        shutil.rmtree(directory / name, ignore_errors=True)
    objects = directory / "objects"
    shutil.copytree(EXAMPLES / "envases", objects)
    write_bundle(check_set(objects), 1, directory / "bundle")
    return directory / "bundle"


def main(argv: list[str] | None = None) -> int:
    """Run the fleet; its files go to the directory that is named."""
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
