"""Run the operators' command line."""
