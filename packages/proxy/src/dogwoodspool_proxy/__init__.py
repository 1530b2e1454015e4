"""Run the proxy."""
