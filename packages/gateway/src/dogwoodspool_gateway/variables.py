"""System variables that drivers query when they connect."""

from mysql_mimic.variables import SYSTEM_VARIABLES


def system_variable(name: str) -> str | None:
    """Return the value of a system variable; None if it is unknown.

    Example:
        >>> system_variable("max_allowed_packet")
        '67108864'
    """
    if name not in SYSTEM_VARIABLES:
        return None
    value = SYSTEM_VARIABLES[name][1]
    return str(int(value)) if isinstance(value, bool) else str(value)
