"""Query tier over many shards, with embeddable coordination parts."""

__version__ = "0.1.0"
