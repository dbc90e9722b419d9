"""Query tier over many shards, with embeddable coordination components."""

__version__ = "0.1.0"
