"""Tests of jackdawsill.membership."""
