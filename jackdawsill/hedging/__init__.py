"""hedging."""
