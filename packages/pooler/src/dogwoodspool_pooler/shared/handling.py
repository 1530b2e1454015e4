"""Handle the requests of other proxies."""

from collections.abc import Iterator
from contextlib import contextmanager

from dogwoodspool_common import first_problem
from pydantic import ValidationError

from .errors import OwnerFailedError


@contextmanager
def internal_errors() -> Iterator[None]:
    """Turn validation errors of a request that was read into internal errors.

    The sender takes a bad request as one that did not run. A message of this process
    that fails validation may be the reply to a statement that did.

    Raises:
        OwnerFailedError: a message of this process is invalid.
    """
    try:
        yield
    except ValidationError as error:
        raise OwnerFailedError(f"invalid message: {first_problem(error)}") from error
