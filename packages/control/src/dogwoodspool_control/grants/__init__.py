"""Rights to write, and shares of connections."""
