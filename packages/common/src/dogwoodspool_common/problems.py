"""Say in one line what is wrong with a message."""

from pydantic import ValidationError


def first_problem(error: ValidationError) -> str:
    """Return where and why a message is invalid; never its values, which may be secret.

    Example:
        >>> first_problem(error)
        'routes.0.timeoutMs: Input should be greater than or equal to 1'
    """
    first = error.errors(include_url=False, include_input=False)[0]
    where = ".".join(str(part) for part in first["loc"])
    return f"{where}: {first['msg']}"
