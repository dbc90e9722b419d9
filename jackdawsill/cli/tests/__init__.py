"""Tests of jackdawsill.cli."""
