"""quarantine."""
