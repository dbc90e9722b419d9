"""stopping."""
