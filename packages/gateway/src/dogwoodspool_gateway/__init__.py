"""Serve the callers' protocol."""
