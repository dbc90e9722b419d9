"""Garbage collector settings for a process that runs one host."""

import gc

# Arguments of `gc.set_threshold`: allocations before a collection of the youngest
# generation, and younger collections before one of each older generation. A fan-out to
# 140 shards allocates some thousand objects, which reference counting frees; with the
# default of 700 allocations each query would cause several collections.
GC_THRESHOLDS = (50_000, 20, 50)


def tune_gc() -> None:
    """Collect less often, and exempt all objects that exist now (`gc.freeze`).

    Call it once, at the end of the start of a process.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
