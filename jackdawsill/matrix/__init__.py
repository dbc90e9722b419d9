"""Simulation tests: inject every fault at every step and check all invariants."""

from jackdawsill.matrix._cells import (
    STEPS,
    Cell,
    CellResult,
    Step,
    double_cells,
    pair_cells,
    run_cell,
    single_cells,
)
from jackdawsill.matrix._faults import FAULTS, fault
from jackdawsill.matrix._invariants import INVARIANTS, check_all, invariant

__all__ = [
    "FAULTS",
    "INVARIANTS",
    "STEPS",
    "Cell",
    "CellResult",
    "Step",
    "check_all",
    "double_cells",
    "fault",
    "invariant",
    "pair_cells",
    "run_cell",
    "single_cells",
]
