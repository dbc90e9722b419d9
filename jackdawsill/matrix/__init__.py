"""matrix."""
