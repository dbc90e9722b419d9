"""Tests of jackdawsill.tickets."""
