"""Tests of jackdawsill.query."""
