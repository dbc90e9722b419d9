"""query."""
