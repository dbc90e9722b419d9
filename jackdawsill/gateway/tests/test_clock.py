"""No module that a gateway runs reads the wall clock."""

import ast
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
FOLDERS = (
    "jackdawsill/core",
    "jackdawsill/forwarding",
    "jackdawsill/gateway",
    "jackdawsill/http1",
    "jackdawsill/peers",
    "jackdawsill/relaying",
    "jackdawsill/runtime",
    "platform/jackdawsill_platform",
)
# Names in `time` and `datetime` that read the wall clock, which can step.
WALL_CLOCKS = {"time", "time_ns", "now", "utcnow", "today", "CLOCK_REALTIME"}


def wall_clock_reads(path: Path) -> list[str]:
    """Return the places where a module reads the wall clock."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    found = []
    for node in ast.walk(tree):
        is_module = isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name)
        if is_module and node.value.id in ("time", "datetime", "date"):
            if node.attr in WALL_CLOCKS:
                found.append(f"{path.name}:{node.lineno} {ast.unparse(node)}")
        elif isinstance(node, ast.ImportFrom) and node.module in ("time", "datetime"):
            found.append(f"{path.name}:{node.lineno} from {node.module} import")
    return found


class TestClock(unittest.TestCase):
    """No decision depends on the wall clock."""

    def test_no_module_reads_the_wall_clock(self):
        """Guards against timeouts and ages that change when the clock steps."""
        paths = [p for f in FOLDERS for p in sorted((ROOT / f).glob("*.py"))]
        self.assertGreater(len(paths), 50)
        self.assertEqual(
            [found for path in paths for found in wall_clock_reads(path)], []
        )

    def test_wall_clock_reads_are_found(self):
        """Guards against a search that never finds anything."""
        source = "import time\nfrom datetime import datetime\nat = time.time()\n"
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "module.py"
            path.write_text(source)
            self.assertEqual(len(wall_clock_reads(path)), 2)
