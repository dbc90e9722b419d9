"""Tests of jackdawsill.burn."""
