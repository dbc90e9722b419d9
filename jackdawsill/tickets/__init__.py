"""tickets."""
