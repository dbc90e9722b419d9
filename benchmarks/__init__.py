"""Benchmarks; no test depends on a measured time."""
