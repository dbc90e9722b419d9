"""limits."""
