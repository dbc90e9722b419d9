"""Measurements; timed figures are never checks."""
