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
FORBIDDEN = {"sanic", "aiohttp"}
OWN = {"jackdawsill", "examples"}


def run(name):
    """Run an example and return its result."""
    module = importlib.import_module(f"examples.embedding.{name}")
    with contextlib.redirect_stdout(io.StringIO()):
        return module.main()


def file_of(module):
    """Return the file of one of this repository's modules, or None."""
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


def closure(module):
    """Return all modules that importing a module imports, and their parents."""
    seen, left = set(), {module}
    while left:
        name = left.pop()
        seen.add(name)
        file = file_of(name)
        found = imports_of(file) if file and name.split(".")[0] in OWN else set()
        for imported in found | {name.rpartition(".")[0]} - {""}:
            if imported not in seen:
                left.add(imported)
    return seen


class TestImports(unittest.TestCase):
    """Guards the promise that components need no network library."""

    def test_no_network_library(self):
        """Guards against a component that imports sanic or aiohttp indirectly."""
        for name in EXAMPLES:
            with self.subTest(name):
                modules = closure(f"examples.embedding.{name}")
                tops = {module.split(".")[0] for module in modules}
                self.assertEqual(tops & FORBIDDEN, set())
                self.assertIn("jackdawsill.core._reducer", modules)

    def test_walk_finds_network_libraries(self):
        """Guards against a walk that overlooks imports."""
        modules = closure("jackdawsill.daemon")
        self.assertLessEqual(FORBIDDEN, {m.split(".")[0] for m in modules})

    def test_each_component_has_a_page(self):
        """Guards against an example without documentation, and the reverse."""
        pages = {p.stem for p in (ROOT / "docs" / "embedding").glob("*.md")}
        self.assertEqual(pages - {"README"}, set(EXAMPLES))


class TestExamples(unittest.TestCase):
    """Guards the examples against changes of the components."""

    def test_hedging(self):
        """Guards against hedges that do not help or exceed the budget."""
        result = run("hedging")
        self.assertLess(result["slow"], 0.015)
        self.assertLessEqual(result["extra_load"], 0.05)

    def test_limits(self):
        """Guards against more connections than 0.8 of the cap."""
        result = run("limits")
        self.assertEqual(result["connections"], 40)
        self.assertLess(result["limit_after_shed"], result["limit_later"])
        self.assertGreater(result["offers"]["refused"], result["offers"]["start"])

    def test_routing(self):
        """Guards against work on slow, crashed and leaving replicas."""
        result = run("routing")
        self.assertNotIn("proofs-1-1", result["slow"])
        self.assertEqual(set(result["crashed"]), {"proofs-1-2"})
        self.assertEqual(set(result["leaving"]), {"proofs-1-1"})

    def test_membership(self):
        """Guards against views that do not agree."""
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
        """Guards against a stop that skips a phase or leaves work in hand."""
        phases = ["serving", "lameduck", "draining", "exit"]
        self.assertEqual(run("stopping"), phases)
