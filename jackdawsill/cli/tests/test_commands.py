"""Tests of the command-line tool."""

import asyncio
import contextlib
import io
import json
import shutil
import socket
import tempfile
import unittest
from pathlib import Path

from aiohttp import web

from jackdawsill.burn import ErrorBudgets
from jackdawsill.cli import main
from jackdawsill.core import QueryFinished
from jackdawsill.gateway.tests.test_settings import VALID as GATEWAY_SETTINGS
from jackdawsill.objects import Objective

ROOT = Path(__file__).parents[3]
ENVASES = str(ROOT / "examples" / "envases")


def run(*argv):
    """Run the tool; return its status, output and error lines."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        status = main(list(argv))
    return status, out.getvalue(), err.getvalue()


class TestFiles(unittest.TestCase):
    """Guards the commands on files, which operators run before they publish."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name)
        # Without the parsers of `_commands`, Fire would read this name as a number.
        self.set = self.path / "007"
        shutil.copytree(ENVASES, self.set)
        self.out = str(self.path / "out")

    def edit(self, name, old, new):
        path = self.set / name
        path.write_text(path.read_text().replace(old, new, 1))

    def test_check_prints_every_error_on_a_line(self):
        """Guards against unreported errors, tracebacks and an exit status of 0."""
        self.assertEqual(run("check", str(self.set))[0], 0)
        self.edit("routes.ini", "group = archivo", "group = archvo")
        self.edit("archivo.ini", "slots = 2", "slots = many")
        status, _, err = run("check", str(self.set))
        self.assertEqual(status, 1)
        first, second = err.splitlines()
        self.assertEqual(
            first,
            f"{self.set}/archivo.ini:4: [group archivo] JDS-1108 slots: 'many' is not "
            "an integer",
        )
        self.assertIn(
            "/routes.ini:4: [route dieline-search] JDS-1110 group names", second
        )

    def test_bundle_is_written_and_compared(self):
        """Guards against a bundle that differs from the object set it was made of."""
        status, out, err = run(
            "bundle", str(self.set), "--generation", "3", "--out", self.out
        )
        self.assertEqual((status, err), (0, ""))
        self.assertTrue(out.splitlines()[-1].startswith("manifest "))
        self.assertIn("objects that differ: 0", run("diff", self.out, ENVASES)[1])
        self.edit("callers.ini", "classes = dieline ", "classes = ")
        out = run("diff", self.out, str(self.set))[1]
        self.assertIn("loses class dieline on route dieline-search", out)
        found = json.loads(run("diff", self.out, str(self.set), "--json")[1])
        self.assertEqual(found["callers"][0]["caller"], "studio-bogota")

    def test_generation_must_rise(self):
        """Guards against publishing a bundle that hosts refuse.

        They refuse an old generation, a changed snapshot or a bad generation.
        """
        arguments = ("bundle", str(self.set), "--out", self.out, "--generation")
        self.assertEqual(run(*arguments, "3")[0], 0)
        self.assertEqual(run(*arguments, "3")[0], 0)
        self.edit("callers.ini", "extra_load = 0.05", "extra_load = 0.06")
        for generation in ("3", "2"):
            self.assertIn("JDS-5205", run(*arguments, generation)[2])
        self.assertEqual(run(*arguments, "4")[0], 0)
        self.edit("archivo.ini", "a02:archivo-02", "a02:archivo-01")
        self.assertIn("JDS-1125", run(*arguments, "5")[2])
        self.assertIn("warning: no snapshot needs", run("check", str(self.set))[2])
        self.assertIn("JDS-1152", run(*arguments, "0")[2])
        self.assertIn("JDS-5201", run(*arguments, "x")[2])

    def test_damaged_bundle_is_refused(self):
        """Guards against comparing with a damaged bundle, which hosts would refuse."""
        run("bundle", str(self.set), "--generation", "3", "--out", self.out)
        value = next(Path(self.out).glob("value-*"))
        value.write_bytes(value.read_bytes()[:-1])
        status, _, err = run("diff", self.out, str(self.path / "none"))
        self.assertEqual(status, 1)
        self.assertIn("JDS-1150", err)
        self.assertIn("JDS-1101", err)

    def test_unwritable_output_is_a_typed_error(self):
        """Guards against a traceback when the output directory is a file."""
        Path(self.out).write_text("")
        status, _, err = run(
            "bundle", str(self.set), "--generation=1", f"--out={self.out}"
        )
        self.assertEqual((status, err[:8]), (1, "JDS-5204"))

    def test_settings_of_a_gateway(self):
        """Guards against handing out a settings file that no gateway can load."""
        path = self.path / "gateway.ini"
        path.write_text(GATEWAY_SETTINGS)
        status, out, _ = run("check-settings", str(path))
        self.assertEqual((status, out[:14]), (0, "valid: host g1"))
        path.write_text(GATEWAY_SETTINGS.replace("slack = 104", "slack = much"))
        status, _, err = run("check-settings", str(path))
        self.assertEqual(status, 1)
        for text in ("JDS-1206", "gateway.ini", "[retries]", "slack"):
            self.assertIn(text, err)

    def test_misuse_has_a_status(self):
        """Guards against an exit status of 0 for a mistyped command."""
        for argv in (("nosuch",), ("check",), ("check", ENVASES, "x")):
            status, _, err = run(*argv)
            self.assertEqual(status, 2)
            self.assertNotIn("Traceback", err)


class TestHosts(unittest.IsolatedAsyncioTestCase):
    """Guards the commands that query operator ports."""

    async def asyncSetUp(self):
        async def status(request):
            members = [{"name": "h1", "live": True}, {"name": "h\x1b2", "live": None}]
            return web.json_response({"generation": 7, "members": members, "x": []})

        async def explain(request):
            error = {"code": "JDS-2003", "message": "no such route"}
            return web.json_response({"error": error}, status=404)

        async def burn(request):
            return web.Response(text="{")

        app = web.Application()
        app.router.add_get("/status", status)
        app.router.add_get("/explain/{kind}/{name}", explain)
        app.router.add_get("/burn", burn)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.host = f"127.0.0.1:{runner.addresses[0][1]}"
        self.report_host = await self.serve_report()
        # A bound socket that does not listen refuses connections.
        closed = socket.socket()
        self.addCleanup(closed.close)
        closed.bind(("127.0.0.1", 0))
        self.closed_port = f"127.0.0.1:{closed.getsockname()[1]}"

    async def serve_report(self):
        """Serve the burn report of a host that answered one query."""
        objective = Objective("o", "search", 340, 0.99, 0.99, 0.05)
        budgets = ErrorBudgets("h1")
        finished = QueryFinished("ana", "search", 0.1, 10, 10, 10, 10)
        budgets.on_query(finished, {"o": objective}, 1.0)

        return await self.serve("/burn", budgets.report({"o": objective}, 4, 1.0))

    async def serve(self, path, document):
        """Serve a document at a path of a new host, and return the host's address."""

        async def handle(request):
            return web.json_response(document)

        app = web.Application()
        app.router.add_get(path, handle)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return f"127.0.0.1:{runner.addresses[0][1]}"

    async def run_in_thread(self, *argv):
        return await asyncio.to_thread(run, *argv)

    async def test_control_characters_are_escaped(self):
        """Guards against control characters of an answer that reach the terminal."""
        status, out, _ = await self.run_in_thread("status", self.host)
        self.assertEqual(status, 0)
        self.assertEqual(
            [line.split() for line in out.splitlines()],
            [["host", self.host], ["generation:", "7"], ["members:"]]
            + [["name", "live"], ["h1", "yes"], ["h\\x1b2", "-"], ["x:", "none"]],
        )

    async def test_unreachable_host_fails_the_command(self):
        """Guards against an exit status of 0 when one of several hosts is down."""
        status, out, err = await self.run_in_thread(
            "status", "--json", self.closed_port, self.host
        )
        self.assertEqual(status, 1)
        found = json.loads(out)
        self.assertEqual(found["answers"][self.host]["generation"], 7)
        self.assertIn("JDS-5202", found["errors"][self.closed_port])
        self.assertTrue(err.startswith(f"JDS-5202 {self.closed_port}: "))

    async def test_bad_answers_are_typed_errors(self):
        """Guards against tracebacks for refusals and malformed JSON."""
        status, _, err = await self.run_in_thread("explain", "route", "x", self.host)
        self.assertEqual(status, 1)
        self.assertEqual(
            err, f"JDS-5203 {self.host}: status 404: JDS-2003 no such route\n"
        )
        self.assertIn("JDS-5203", (await self.run_in_thread("burn", self.host))[2])

    async def test_burn_counts_each_host_once(self):
        """Guards against counting a host twice, and no report if another host fails."""
        page = Path(tempfile.mkdtemp()) / "burn.html"
        self.addCleanup(shutil.rmtree, page.parent)
        hosts = (self.report_host, self.report_host, self.closed_port)
        status, out, err = await self.run_in_thread("burn", *hosts, "--html", str(page))
        self.assertEqual((status, err[:8]), (1, "JDS-5202"))
        self.assertIn("1 hosts, generation 4, 3 budgets, 0 used up", out)
        self.assertIn("data:image/png", page.read_text())
        status, out, _ = await self.run_in_thread("burn", self.report_host, "--json")
        self.assertEqual((status, json.loads(out)["generation"]), (0, 4))
        bad = await self.run_in_thread(
            "burn", self.report_host, "--html", str(page.parent)
        )
        self.assertEqual((bad[0], bad[2][:8]), (1, "JDS-5206"))

    async def test_fleet_shows_the_hosts_that_differ(self):
        """Guards against a host that has not taken a change and is not seen."""
        same = {
            "routes": {"version": 7},
            "settings": {"digest": "a", "file_valid": True, "waiting": []},
        }
        hosts = [await self.serve("/status", same) for _ in range(3)]
        late = await self.serve("/status", {**same, "routes": {"version": 5}})
        waiting = await self.serve(
            "/status",
            {**same, "settings": {**same["settings"], "waiting": ["ports.peers"]}},
        )
        listed = Path(tempfile.mkdtemp()) / "hosts"
        self.addCleanup(shutil.rmtree, listed.parent)
        listed.write_text(f"# all\n{late}\n{waiting}  # x\n\n{self.closed_port}\n")
        arguments = ("fleet", *hosts, f"--hosts_file={listed}")
        status, out, err = await self.run_in_thread(*arguments)
        self.assertEqual((status, err), (0, ""))
        first, *rows = out.splitlines()
        self.assertEqual(first, "6 hosts, 2 differ, 1 did not answer")
        self.assertEqual({r.split()[1] for r in rows[:2]}, {late, waiting})
        self.assertTrue(rows[2].startswith(f"! {self.closed_port} no answer"))
        status, out, _ = await self.run_in_thread(*arguments, "--json")
        found = {row["host"]: row.get("differs") for row in json.loads(out)}
        self.assertEqual(found[late], ["routes"])
        self.assertEqual(found[waiting], ["waiting"])
        self.assertIsNone(found[hosts[0]])

    async def test_fleet_without_hosts(self):
        """Guards against an empty table that looks like a healthy fleet."""
        for argv in (("fleet",), ("fleet", "--hosts_file", "/nonexistent/hosts")):
            status, _, err = await self.run_in_thread(*argv)
            self.assertEqual((status, err[:8]), (1, "JDS-5201"), argv)

    async def test_bad_arguments_are_typed_errors(self):
        """Guards against host names, which need DNS, and names that change the path."""
        for argv in (
            ("status",),
            ("status", "localhost"),
            ("status", "127.0.0.1:0"),
            ("status", "::1:80"),
            ("status", self.host, "--timeout_s", "0"),
            ("explain", "route", "../status", self.host),
        ):
            status, _, err = await self.run_in_thread(*argv)
            self.assertEqual((status, err[:8]), (1, "JDS-5201"), argv)
