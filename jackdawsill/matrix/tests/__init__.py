"""Tests of jackdawsill.matrix."""
