"""System variables that drivers ask for when they connect."""

from mysql_mimic.variables import SYSTEM_VARIABLES


def system_variable(name: str) -> str | None:
    """Return the value of a system variable; None if there is no such one.

    Example:
        >>> system_variable("max_allowed_packet")
        '67108864'
    """
    if name not in SYSTEM_VARIABLES:
        return None
    value = SYSTEM_VARIABLES[name][1]
    return str(int(value)) if isinstance(value, bool) else str(value)
