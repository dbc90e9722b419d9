"""Run the fault matrix from the command line."""

import random
import sys
import time

import fire

from jackdawsill.matrix._build import build_host
from jackdawsill.matrix._cells import (
    Cell,
    CellResult,
    double_cells,
    pair_cells,
    run_cell,
    single_cells,
)


def run(
    pairs: int = 200, doubles: bool = True, match: str = "", seed: int | None = None
) -> None:
    """Run the cells whose name contains `match`; exit with status 1 on a violation.

    The cells are all single faults, each fault twice (`doubles`) and a random sample
    of `pairs` pairs of faults. `seed` replaces the seed that each cell derives from
    its name.
    """
    cells = list(single_cells())
    if doubles:
        cells += list(double_cells())
    cells += random.Random(seed or 0).sample(list(pair_cells()), pairs)
    chosen = [cell for cell in cells if match in cell.name]
    started_at = time.monotonic()
    results = [run_and_print(cell, seed) for cell in chosen]
    n_violated = sum(bool(r.violations) for r in results)
    n_unreached = sum(r.n_injected < len(r.cell.injections) for r in results)
    print(
        f"{len(results)} cells in {time.monotonic() - started_at:.0f} s, "
        f"{n_unreached} with a step that was not reached, {n_violated} red"
    )
    sys.exit(1 if n_violated else 0)


def run_and_print(cell: Cell, seed: int | None) -> CellResult:
    """Run one cell and print its outcome and its violations."""
    result = run_cell(cell, build_host, seed)
    reached = f"{result.n_injected}/{len(cell.injections)}"
    status = "RED " if result.violations else "pass"
    print(
        f"{status} {cell.name} (seed {cell.seed if seed is None else seed}, "
        f"struck {reached}, {result.n_answers} answers, "
        f"{result.n_refusals} refusals, {result.n_runs} runs)"
    )
    for violation in result.violations:
        print(f"     {violation}")
    return result


if __name__ == "__main__":
    fire.Fire(run, name="matrix")
