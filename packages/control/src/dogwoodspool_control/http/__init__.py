"""HTTP endpoints of a control process."""
