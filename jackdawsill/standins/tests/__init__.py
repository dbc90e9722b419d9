"""Tests of jackdawsill.standins."""
