"""metrics."""
