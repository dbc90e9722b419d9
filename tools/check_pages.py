"""Run the commands in the operator documentation against a local fleet.

Bash runs each code block tagged `sh run` from the root of the repository; each page
gets a new fleet. The exit status is 1 if a command fails. With `--update`, the output
replaces the code block tagged `text` that follows directly.
"""

import argparse
import os
import re
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PAGES = (ROOT / "README.md", *sorted((ROOT / "docs" / "operators").glob("*.md")))
BLOCK = re.compile(
    r"^```sh run\n(?P<script>.*?)^```\n(?P<shown>\n?```text\n(?P<output>.*?)^```\n)?",
    re.MULTILINE | re.DOTALL,
)
BLOCK_LIMIT_S = 120
STOP_LIMIT_S = 20
PREAMBLE = """set -eo pipefail
jackdawsillctl() { "$PYTHON" -m jackdawsill.cli "$@"; }
jackdawsilld() { "$PYTHON" -m jackdawsill.daemon "$@"; }
"""


@dataclass(slots=True, frozen=True)
class Block:
    """Commands of one block.

    `output_at` is the span of the printed output on the page, None if there is none.
    """

    line: int
    script: str
    output_at: tuple[int, int] | None


def read_blocks(text: str) -> list[Block]:
    """Return the runnable code blocks of a page."""
    found = []
    for match in BLOCK.finditer(text):
        line = text.count("\n", 0, match.start()) + 1
        at = match.span("output") if match["shown"] else None
        found.append(Block(line, match["script"], at))
    return found


def start_fleet() -> subprocess.Popen:
    """Start a fleet and wait until it is ready.

    Raises SystemExit if the fleet ends before it is ready.
    """
    fleet = subprocess.Popen(
        [sys.executable, "-m", "examples.local_fleet"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert fleet.stdout is not None
    if not fleet.stdout.readline().startswith("ready"):
        raise SystemExit("the local fleet did not start")
    return fleet


def stop_fleet(fleet: subprocess.Popen) -> None:
    """Terminate the fleet; kill it after `STOP_LIMIT_S`."""
    fleet.terminate()
    try:
        fleet.wait(STOP_LIMIT_S)
    except subprocess.TimeoutExpired:
        fleet.kill()
        fleet.wait()


def run_block(block: Block) -> tuple[int, str]:
    """Run one block; return its exit status, 124 after a timeout, and its output."""
    try:
        done = subprocess.run(
            ["bash", "-c", PREAMBLE + block.script],
            cwd=ROOT,
            env={**os.environ, "PYTHON": sys.executable},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=BLOCK_LIMIT_S,
        )
    except subprocess.TimeoutExpired:
        return 124, f"block timed out after {BLOCK_LIMIT_S} s\n"
    return done.returncode, done.stdout


def check_page(page: Path, update: bool) -> bool:
    """Run the blocks of a page up to the first failure; return whether all passed."""
    text = page.read_text()
    blocks = read_blocks(text)
    if not blocks:
        return True
    outputs = []
    fleet = start_fleet()
    try:
        for block in blocks:
            status, output = run_block(block)
            outputs.append((block, output))
            print(f"{page.relative_to(ROOT)}:{block.line}: status {status}", flush=True)
            if status:
                print(block.script + output, flush=True)
                return False
    finally:
        stop_fleet(fleet)
    if update:
        for block, output in reversed(outputs):
            if block.output_at is not None:
                start, end = block.output_at
                text = text[:start] + output.rstrip("\n") + "\n" + text[end:]
        page.write_text(text)
    return True


def main(argv: list[str] | None = None) -> int:
    """Check the named pages, or all; return 1 if a block failed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("pages", nargs="*", type=Path)
    parser.add_argument("--update", action="store_true")
    args = parser.parse_args(argv)
    pages = [page.resolve() for page in args.pages] or PAGES
    return 0 if all([check_page(page, args.update) for page in pages]) else 1


if __name__ == "__main__":
    sys.exit(main())
