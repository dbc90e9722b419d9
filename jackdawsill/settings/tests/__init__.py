"""Tests of jackdawsill.settings."""
