"""Choose the backend server of a statement."""
