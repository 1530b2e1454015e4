"""Changes of a group's primary, from a failure or a wish to the new one."""
