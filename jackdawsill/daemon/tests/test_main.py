"""Tests of the command `jackdawsilld` in a process of its own."""

import asyncio
import json
import signal
import socket
import sys
import tempfile
import unittest
from pathlib import Path

from jackdawsill.daemon.tests._fixtures import WAIT_S
from jackdawsill.standins import LOOPBACK, ConfigService, HostList

SETTINGS = """
[host]
name = entrada-01
failure_domain = bogota
region = colombia
address = 127.0.0.1
caller_port = {caller_port}
operator_port = 0
peer_port = 0
fleet_key = example-key-for-tests

[platform]
config_url = {config_url}
host_list_url = {host_list_url}
"""


class TestCommand(unittest.IsolatedAsyncioTestCase):
    """Start and end of the process."""

    async def asyncSetUp(self):
        self.config, self.host_list = ConfigService(), HostList()
        for standin in (self.config, self.host_list):
            await standin.start()
            self.addAsyncCleanup(standin.stop)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "host.ini"
        self.write()

    def write(self, caller_port=0, extra=""):
        """Write the settings file."""
        text = SETTINGS.format(
            caller_port=caller_port,
            config_url=self.config.url,
            host_list_url=self.host_list.url,
        )
        self.path.write_text(text + extra, encoding="utf-8")

    async def spawn(self, *args):
        """Start the command."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "jackdawsill.daemon",
            "--settings",
            str(self.path),
            *args,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        self.addCleanup(self.end, process)
        return process

    def end(self, process):
        """Kill a process that a failed test left behind."""
        if process.returncode is None:
            process.kill()

    async def log_event(self, process, name):
        """Read log lines up to the event with this name."""
        while True:
            line = await asyncio.wait_for(process.stderr.readline(), WAIT_S)
            self.assertTrue(line, f"the log ended before {name}")
            event = json.loads(line)
            if event["name"] == name:
                return event

    async def status(self, process):
        """Wait for the exit status."""
        return await asyncio.wait_for(process.wait(), WAIT_S)

    async def test_signals_end_with_status_0(self):
        """Guards against a planned stop that is reported as a failure."""
        for number in (signal.SIGTERM, signal.SIGINT):
            process = await self.spawn()
            await self.log_event(process, "host-started")
            process.send_signal(number)
            await self.log_event(process, "host-stopped")
            self.assertEqual(await self.status(process), 0)

    async def test_check_settings(self):
        """Guards against a check that starts a host."""
        process = await self.spawn("--check-settings")
        out, _ = await asyncio.wait_for(process.communicate(), WAIT_S)
        self.assertEqual(process.returncode, 0)
        self.assertIn(b"entrada-01", out)

    async def test_bad_settings_are_all_reported(self):
        """Guards against errors that are reported one per start."""
        self.write(caller_port=-1, extra="seed = 1\n[limts]\n")
        for args in ((), ("--check-settings",)):
            process = await self.spawn(*args)
            _, err = await asyncio.wait_for(process.communicate(), WAIT_S)
            self.assertEqual(process.returncode, 2)
            events = [json.loads(line) for line in err.splitlines()]
            self.assertEqual({e["name"] for e in events}, {"settings_invalid"})
            self.assertEqual(len(events), 3)

    async def test_taken_port(self):
        """Guards against a start that hangs or succeeds without its port."""
        with socket.socket() as sock:
            sock.bind((LOOPBACK, 0))
            sock.listen()
            self.write(caller_port=sock.getsockname()[1])
            process = await self.spawn()
            event = await self.log_event(process, "start-failed")
            self.assertIn("in use", event["fields"]["detail"])
            self.assertEqual(await self.status(process), 1)
