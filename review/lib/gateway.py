"""Gateway processes, started with the command and the template of the deploy files."""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from lib.http import call

ROOT = Path(__file__).resolve().parents[2]
ROLE = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]
SETTINGS_VARIABLE = "JACKDAWSILL_BOOT"
METRICS_PORT = int(ROLE["metrics"].partition("/")[0])
FRONT_PORT, READY_PORT, CONTROL_PORT = 8226, 8227, 8224
PORT_RANGE = [7740, 7755]
START_TIMEOUT_S = 20.0
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_PLACEHOLDER = re.compile(r"\{\{([\w.]+)\}\}")


def free_hosts(n: int) -> list[str]:
    """Return loopback addresses on which all ports of a gateway are free."""
    found: list[str] = []
    block = os.getpid() % 200
    for number in range(1, 250):
        host = f"127.{20 + block}.7.{number}"
        ports = (FRONT_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT, *PORT_RANGE)
        if all(_is_free(host, port) for port in ports):
            found.append(host)
            if len(found) == n:
                return found
    raise OSError("no free loopback addresses")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return ",".join(map(str, value))
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of settings as the platform does."""

    def look_up(path: str) -> Any:
        value: Any = fields
        for name in path.split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return value

    def section(match: re.Match) -> str:
        entries = look_up(match[1])
        return "".join(
            match[2].replace("{{@}}", key).replace("{{.}}", _text(value))
            for key, value in entries.items()
        )

    text = _SECTION.sub(section, template)
    return _PLACEHOLDER.sub(lambda match: _text(look_up(match[1])), text)


class Gateway:
    """One gateway process, at its own loopback address."""

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        *,
        zones: dict[str, str],
        store: str,
        seeds: list[str],
        link_mbps: float = 350.0,
        bounds: dict[str, Any],
    ) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.front = f"{host}:{FRONT_PORT}"
        self.ready = f"{host}:{READY_PORT}"
        self.control = f"{host}:{CONTROL_PORT}"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.log_path = self.folder / "log"
        self.process: subprocess.Popen | None = None
        self.fields = {
            "node_name": name,
            "zone": zone,
            "zones": zones,
            "bounds": bounds,
            "listen_addrs": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "port_range": PORT_RANGE,
            "platform": {"address": store},
            "seeds": seeds,
            "bootstrap": True,
            "limits": {"link_mbps": link_mbps, "memory_mb": 222},
        }

    def start(self) -> None:
        """Write the settings and start the process."""
        template = (ROOT / ROLE["template"]).read_text()
        settings = self.folder / "boot.conf"
        settings.write_text(render(template, self.fields))
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env[SETTINGS_VARIABLE] = str(settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ROLE["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_ready(self) -> None:
        """Wait until the health check succeeds; raise TimeoutError if it does not."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                reply = await call(self.ready, "/api/ready", {"Host": self.host})
                if reply.status == 200:
                    return
                await asyncio.sleep(0.1)

    def stop(self) -> None:
        """End the process, and remove its folder."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            Path(keep).mkdir(exist_ok=True)
            (Path(keep) / f"{self.name}.log").write_bytes(self.log_path.read_bytes())
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()
