"""Snapshots are tested with queries, in jackdawsill.query.tests.test_failures."""
