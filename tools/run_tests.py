"""Run the tests with nose2 and print a final line with the counts."""

import sys
from pathlib import Path

from nose2.main import PluggableTestProgram

from tools.count_plugin import TestCounts

ROOT = Path(__file__).resolve().parent.parent
# The platform adapter has its own import root: `platform` is no package, as its name
# would shadow the module of the standard library.
ADAPTER = ROOT / "platform"
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_failures(path: Path) -> set[str]:
    """Return the test ids listed as known failures in lines `test: ID`."""
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    }


def report(counts: TestCounts, known_failures: set[str]) -> int:
    """Print the counts; return 0 if a test passed and only known failures failed."""
    failed_known = sorted(counts.failed & known_failures)
    failed = counts.failed - known_failures
    passed = counts.finished - counts.failed - counts.skipped
    for test_id in failed_known:
        print(f"known red (KNOWN-RED.txt): {test_id}")
    for test_id in sorted(known_failures - counts.failed):
        print(f"listed in KNOWN-RED.txt but did not fail: {test_id}")
    n_skipped = len(counts.skipped | set(failed_known))
    print(f"{len(passed)} passed, {len(failed)} failed, {n_skipped} skipped")
    return 0 if passed and not failed else 1


def run(folder: Path, names: list[str]) -> TestCounts:
    """Run the named tests, or all below a folder, and return the counts."""
    PluggableTestProgram(
        module=None,
        argv=["nose2", "-s", str(folder), "-t", str(folder), *names],
        plugins=["tools.count_plugin"],
        exit=False,
    )
    assert TestCounts.instance is not None
    return TestCounts.instance


def main() -> int:
    """Run the whole suite, or only the tests named on the command line."""
    sys.path.insert(0, str(ADAPTER))
    names = sys.argv[1:]
    counts = run(ROOT, names)
    if not names:
        counts.merge(run(ADAPTER, []))
    return report(counts, read_known_failures(KNOWN_RED))


if __name__ == "__main__":
    sys.exit(main())
