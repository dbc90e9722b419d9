"""Run all tests with nose2 and print a final line of counts."""

import sys
from pathlib import Path

from nose2.main import PluggableTestProgram

from tools.count_plugin import TestOutcomes

ROOT = Path(__file__).resolve().parent.parent
# Import root of the platform adapter, whose tests run on their own. It is not a
# package, because its name would hide the standard library's module `platform`.
PLATFORM_FOLDER = ROOT / "platform"
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"


def read_known_failures(path: Path) -> set[str]:
    """Return the ids of the known failures, listed in lines `test: ID`."""
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    }


def report(outcomes: TestOutcomes, known_failures: set[str]) -> int:
    """Print the counts; known failures count as skipped.

    Returns 0 if at least one test passed and no test failed but known failures.
    """
    known_failed = sorted(outcomes.failed & known_failures)
    failed = outcomes.failed - known_failures
    passed = outcomes.finished - outcomes.failed - outcomes.skipped
    for test_id in known_failed:
        print(f"known red (KNOWN-RED.txt): {test_id}")
    for test_id in sorted(known_failures - outcomes.failed):
        print(f"listed in KNOWN-RED.txt but did not fail: {test_id}")
    n_skipped = len(outcomes.skipped | set(known_failed))
    print(f"{len(passed)} passed, {len(failed)} failed, {n_skipped} skipped")
    return 0 if passed and not failed else 1


def run(folder: Path, names: list[str]) -> TestOutcomes:
    """Run the tests below a folder, or only the named ones, and return the outcomes."""
    PluggableTestProgram(
        module=None,
        argv=["nose2", "-s", str(folder), "-t", str(folder), *names],
        plugins=["tools.count_plugin"],
        exit=False,
    )
    assert TestOutcomes.instance is not None
    return TestOutcomes.instance


def main() -> int:
    """Run the tests named on the command line, or all including the adapter's."""
    sys.path.insert(0, str(PLATFORM_FOLDER))
    names = sys.argv[1:]
    outcomes = run(ROOT, names)
    if not names:
        outcomes.add(run(PLATFORM_FOLDER, []))
    return report(outcomes, read_known_failures(KNOWN_FAILURES_FILE))


if __name__ == "__main__":
    sys.exit(main())
