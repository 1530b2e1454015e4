"""Replicate a log between control processes."""
