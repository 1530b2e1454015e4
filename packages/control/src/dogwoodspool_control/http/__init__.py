"""The endpoints of a control process."""
