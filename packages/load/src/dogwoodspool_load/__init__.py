"""Run load and experiments."""
