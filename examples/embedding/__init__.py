"""Examples of coordination components inside another program."""
