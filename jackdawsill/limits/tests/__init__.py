"""Tests of jackdawsill.limits."""
