"""snapshots."""
