"""Stand-ins of the platform, and gateway processes, for the cases of the review."""
