"""Which clocks a gateway reads."""

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
# The time of day steps; the steady clock stands still while a machine is suspended.
WALL_CLOCKS = {"time", "time_ns", "now", "utcnow", "today", "CLOCK_REALTIME"}


def clocks_read(path: Path) -> list[str]:
    """Return the readings of the time of day in a module."""
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
    """No decision depends on the time of day."""

    def test_no_module_reads_the_time_of_day(self):
        """Guards against timeouts and ages that a step of the clock changes."""
        paths = [p for f in FOLDERS for p in sorted((ROOT / f).glob("*.py"))]
        self.assertGreater(len(paths), 50)
        self.assertEqual([found for path in paths for found in clocks_read(path)], [])

    def test_readings_are_found(self):
        """Guards against a check that finds nothing."""
        source = "import time\nfrom datetime import datetime\nat = time.time()\n"
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "module.py"
            path.write_text(source)
            self.assertEqual(len(clocks_read(path)), 2)
