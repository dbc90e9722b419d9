"""Tests of the embedding examples."""

import ast
import contextlib
import importlib
import io
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
FOLDER = ROOT / "examples" / "embedding"
EXAMPLES = sorted(p.stem for p in FOLDER.glob("*.py") if not p.stem.startswith("_"))
NETWORK_LIBRARIES = {"sanic", "aiohttp"}
OWN_PACKAGES = {"jackdawsill", "examples"}


def run(name):
    """Run an example and return its result."""
    module = importlib.import_module(f"examples.embedding.{name}")
    with contextlib.redirect_stdout(io.StringIO()):
        return module.main()


def source_file(module):
    """Return the source file of a module in this repository, or None."""
    path = ROOT.joinpath(*module.split("."))
    for file in (path.with_suffix(".py"), path / "__init__.py"):
        if file.is_file():
            return file
    return None


def imports_of(file):
    """Return the modules that a file imports anywhere, with possible submodules."""
    names = set()
    for node in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"relative import in {file}"
            names |= {node.module, *(f"{node.module}.{a.name}" for a in node.names)}
    return names


def import_closure(module):
    """Return a module, all modules that it imports transitively, and their parents."""
    seen, pending = set(), {module}
    while pending:
        name = pending.pop()
        seen.add(name)
        file = source_file(name)
        found = (
            imports_of(file) if file and name.split(".")[0] in OWN_PACKAGES else set()
        )
        for imported in found | {name.rpartition(".")[0]} - {""}:
            if imported not in seen:
                pending.add(imported)
    return seen


class TestImports(unittest.TestCase):
    """Guards against components that need a network library."""

    def test_no_network_library(self):
        """Guards against a component that imports sanic or aiohttp indirectly."""
        for name in EXAMPLES:
            with self.subTest(name):
                modules = import_closure(f"examples.embedding.{name}")
                packages = {module.split(".")[0] for module in modules}
                self.assertEqual(packages & NETWORK_LIBRARIES, set())
                self.assertIn("jackdawsill.core._reducer", modules)

    def test_import_closure_finds_network_libraries(self):
        """Guards against an import closure that misses imports."""
        modules = import_closure("jackdawsill.daemon")
        self.assertLessEqual(NETWORK_LIBRARIES, {m.split(".")[0] for m in modules})

    def test_each_example_has_a_page(self):
        """Guards against an example without a page, and a page without an example."""
        pages = {p.stem for p in (ROOT / "docs" / "embedding").glob("*.md")}
        self.assertEqual(pages - {"README"}, set(EXAMPLES))


class TestExamples(unittest.TestCase):
    """Guards against a change of a component that makes its example wrong."""

    def test_hedging(self):
        """Guards against hedges over the budget of 5%, or without use."""
        result = run("hedging")
        self.assertLess(result["slow"], 0.015)
        self.assertLessEqual(result["extra_load"], 0.05)

    def test_limits(self):
        """Guards against a fleet with more connections than 0.8 of the cap of 50."""
        result = run("limits")
        self.assertEqual(result["connections"], 40)
        self.assertLess(result["limit_after_shed"], result["limit_later"])
        self.assertGreater(result["offers"]["refused"], result["offers"]["start"])

    def test_routing(self):
        """Guards against picking slow, crashed and leaving replicas."""
        result = run("routing")
        self.assertNotIn("proofs-1-1", result["slow"])
        self.assertEqual(set(result["crashed"]), {"proofs-1-2"})
        self.assertEqual(set(result["leaving"]), {"proofs-1-1"})

    def test_membership(self):
        """Guards against hosts that disagree about the live hosts."""
        before, after = run("membership")
        self.assertTrue(all(v == list("abcde") for v in before.values()))
        self.assertTrue(all(v == list("abcd") for v in after.values()))

    def test_tickets(self):
        """Guards against a request that runs twice."""
        result = run("tickets")
        self.assertEqual((result["first_status"], result["n_run"]), (428, 1))
        self.assertEqual(result["items"][0], result["items"][1])

    def test_quarantine(self):
        """Guards against a poison request that stays allowed."""
        self.assertEqual(run("quarantine"), ["clear", "suspect", "clear", "condemned"])

    def test_spread(self):
        """Guards against hosts without the newest set, and against a reversion."""
        generations = [set(g.values()) for g in run("spread")]
        self.assertEqual(generations, [{1}, {2}, {2}])

    def test_stopping(self):
        """Guards against a stop that skips a phase or does not end."""
        phases = ["serving", "lameduck", "draining", "exit"]
        self.assertEqual(run("stopping"), phases)
