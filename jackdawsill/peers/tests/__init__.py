"""Tests of jackdawsill.peers."""
