"""Unplanned and planned changes of a group's primary."""
