"""Tests of jackdawsill.hedging."""
