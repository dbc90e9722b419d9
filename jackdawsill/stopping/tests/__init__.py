"""Tests of jackdawsill.stopping."""
