"""spread."""
