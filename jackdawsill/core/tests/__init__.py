"""Tests of jackdawsill.core."""
