"""Settings of the interpreter for a process that runs one host."""

import gc

# A fan-out of 140 allocates some thousand objects that reference counting frees by
# itself; with the default threshold of 700 each query runs several collections.
GC_THRESHOLDS = (50_000, 20, 50)


def tune_gc() -> None:
    """Make collections rarer and leave out the objects made at start."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
