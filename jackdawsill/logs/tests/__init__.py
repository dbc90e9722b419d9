"""Tests of jackdawsill.logs."""
