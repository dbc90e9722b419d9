"""Tests of jackdawsill.objects."""
