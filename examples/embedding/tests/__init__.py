"""Tests of the embedding examples."""
