"""burn."""
