"""Hold the settings tree: inheritance, validation, changes, declarations."""
