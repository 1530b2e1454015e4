"""Run requests at most once."""
