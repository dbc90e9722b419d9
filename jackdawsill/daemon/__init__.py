"""daemon."""
