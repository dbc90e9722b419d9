"""Tests of jackdawsill.snapshots."""
