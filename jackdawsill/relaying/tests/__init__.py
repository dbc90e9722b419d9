"""Tests of jackdawsill.relaying."""
