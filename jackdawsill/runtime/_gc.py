"""Garbage collector settings for a process that runs one host."""

import gc

# A fan-out to 140 shards allocates some thousand objects, which reference counting
# frees. With the default threshold of 700 each query would cause several collections.
GC_THRESHOLDS = (50_000, 20, 50)


def tune_gc() -> None:
    """Collect less often, and exempt all objects that exist now (`gc.freeze`).

    Call it once, at the end of the start of a process.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
