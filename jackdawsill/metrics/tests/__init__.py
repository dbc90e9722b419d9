"""Tests of jackdawsill.metrics."""
