"""Run the commands of README and the operators' pages against a local fleet.

Bash runs each code block that is fenced as `sh run`, from the root of the repository.
Each page gets a fresh fleet. The exit status is 1 if a command fails; outputs are not
compared. With `--update`, the output of a block replaces the content of a `text` block
that follows directly.
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
    r"^```sh run\n(?P<script>.*?)^```\n(?P<result>\n?```text\n(?P<output>.*?)^```\n)?",
    re.MULTILINE | re.DOTALL,
)
BLOCK_TIMEOUT_S = 120  # for one code block
STOP_TIMEOUT_S = 20  # from SIGTERM until the fleet is killed
# Prepended to each block; it runs the commands of the package from the source tree.
PREAMBLE = """set -eo pipefail
jackdawsillctl() { "$PYTHON" -m jackdawsill.cli "$@"; }
jackdawsilld() { "$PYTHON" -m jackdawsill.daemon "$@"; }
"""


@dataclass(slots=True, frozen=True)
class Block:
    """One code block: its line, its commands and the span of its shown output.

    `output_span` has offsets into the page; None if no output is shown.
    """

    line: int
    script: str
    output_span: tuple[int, int] | None


def read_blocks(text: str) -> list[Block]:
    """Return the `sh run` blocks of a page."""
    blocks = []
    for match in BLOCK.finditer(text):
        line = text.count("\n", 0, match.start()) + 1
        output_span = match.span("output") if match["result"] else None
        blocks.append(Block(line, match["script"], output_span))
    return blocks


def start_fleet() -> subprocess.Popen:
    """Start a local fleet and wait until it is ready."""
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
    """Terminate the fleet, and kill it after `STOP_TIMEOUT_S`."""
    fleet.terminate()
    try:
        fleet.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        fleet.kill()
        fleet.wait()


def run_block(block: Block) -> tuple[int, str]:
    """Run one block; return its exit status (124 on timeout) and its output."""
    try:
        completed = subprocess.run(
            ["bash", "-c", PREAMBLE + block.script],
            cwd=ROOT,
            env={**os.environ, "PYTHON": sys.executable},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=BLOCK_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return 124, f"timed out after {BLOCK_TIMEOUT_S} s\n"
    return completed.returncode, completed.stdout


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
            if block.output_span is not None:
                start, end = block.output_span
                text = text[:start] + output.rstrip("\n") + "\n" + text[end:]
        page.write_text(text)
    return True


def main(argv: list[str] | None = None) -> int:
    """Run the blocks of the named pages, or of all; return 1 if one failed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("pages", nargs="*", type=Path)
    parser.add_argument("--update", action="store_true")
    args = parser.parse_args(argv)
    pages = [page.resolve() for page in args.pages] or PAGES
    return 0 if all([check_page(page, args.update) for page in pages]) else 1


if __name__ == "__main__":
    sys.exit(main())
