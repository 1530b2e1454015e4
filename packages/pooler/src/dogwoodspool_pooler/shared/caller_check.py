"""Check that a neighbour's caller may still run statements."""

from dogwoodspool_following import ProxyView

from ..errors import UnknownKeyError
from ..identity import Caller, check_holder
from .errors import OwnerBehindError


def check_caller(view: ProxyView, caller: Caller) -> None:
    """Check with the owner's own view that a caller's account holds its key.

    A neighbour that is cut off from control may not know that a key was revoked. An
    owner that does must not run what such a neighbour forwards.

    Raises:
        OwnerBehindError: the neighbour has a newer view, which may have added the key.
        UnknownKeyError: the account does not hold the key any longer.
    """
    try:
        check_holder(view, caller)
    except UnknownKeyError as error:
        if view.version < caller.view_version:
            raise OwnerBehindError(
                f"view {view.version} is older than the sender's {caller.view_version}"
            ) from error
        raise
