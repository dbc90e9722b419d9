"""Run all tests with nose2 and print one closing line of counts."""

import sys
from pathlib import Path

from nose2.main import PluggableTestProgram

from tools.count_plugin import TestCounts

ROOT = Path(__file__).resolve().parent.parent
# The adapter lies in a folder that cannot be a package, beside the product.
ADAPTER = ROOT / "platform"
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red(path: Path) -> set[str]:
    """Return the test ids listed as known failures in lines `test: ID`."""
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    }


def report(counts: TestCounts, known_red: set[str]) -> int:
    """Print the counts; return 0 if tests ran and only known ones failed."""
    red = sorted(counts.failed & known_red)
    failed = counts.failed - known_red
    passed = counts.finished - counts.failed - counts.skipped
    for test_id in red:
        print(f"known red (KNOWN-RED.txt): {test_id}")
    for test_id in sorted(known_red - counts.failed):
        print(f"listed in KNOWN-RED.txt but did not fail: {test_id}")
    n_skipped = len(counts.skipped | set(red))
    print(f"{len(passed)} passed, {len(failed)} failed, {n_skipped} skipped")
    return 0 if passed and not failed else 1


def run(folder: Path, names: list[str]) -> TestCounts:
    """Run the tests below a folder, or the named ones, and return the counts."""
    PluggableTestProgram(
        module=None,
        argv=["nose2", "-s", str(folder), "-t", str(folder), *names],
        plugins=["tools.count_plugin"],
        exit=False,
    )
    assert TestCounts.instance is not None
    return TestCounts.instance


def main() -> int:
    """Run the suite, or the tests named on the command line."""
    sys.path.insert(0, str(ADAPTER))
    names = sys.argv[1:]
    counts = run(ROOT, names)
    if not names:
        counts.add(run(ADAPTER, []))
    return report(counts, read_known_red(KNOWN_RED))


if __name__ == "__main__":
    sys.exit(main())
