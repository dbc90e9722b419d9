"""Tests of jackdawsill.routing."""
