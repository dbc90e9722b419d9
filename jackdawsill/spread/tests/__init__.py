"""Tests of jackdawsill.spread."""
