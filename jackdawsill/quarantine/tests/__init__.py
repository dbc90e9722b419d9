"""Tests of jackdawsill.quarantine."""
