"""Days on which all first control processes are replaced, with real processes."""
