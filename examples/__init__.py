"""Example objects and settings, and a demonstration that uses them."""
