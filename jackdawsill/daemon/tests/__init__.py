"""Tests of jackdawsill.daemon."""
