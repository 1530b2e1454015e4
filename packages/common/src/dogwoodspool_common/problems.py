"""One-line descriptions of validation errors."""

from pydantic import ValidationError


def first_problem(error: ValidationError) -> str:
    """Return where and why a message is invalid, without its possibly secret values.

    Example:
        >>> first_problem(error)
        'routes.0.timeoutMs: Input should be greater than or equal to 1'
    """
    first = error.errors(include_url=False, include_input=False)[0]
    where = ".".join(str(part) for part in first["loc"])
    return f"{where}: {first['msg']}"
