"""Check that a neighbour's caller may still run statements."""

from dogwoodspool_following import ProxyView, ViewStore

from ..const import NOT_READY_RETRY_MS
from ..databases import Confirmer
from ..errors import NotServedError, UnknownKeyError
from ..identity import Caller, check_holder
from ..models import ErrorCode, StatementError
from .errors import OwnerBehindError


class CallerCheck:
    """Check callers of neighbours with this process's own view.

    A neighbour that is cut off from control may not know that a key was revoked. An
    owner that does must not run what such a neighbour forwards. But the owner's view
    may be an old one as well, so control confirms it before a key is denied.
    """

    def __init__(self, views: ViewStore, confirmer: Confirmer) -> None:
        self._views = views
        self._confirmer = confirmer

    def check(self, caller: Caller) -> None:
        """Check that a caller's account holds its key.

        Raises:
            OwnerBehindError: the neighbour has a newer view, which may have added the
                key.
            UnknownKeyError: no account of the newest configuration holds the key.
            NotServedError: another account holds the key, or control did not confirm
                that none does.
        """
        view = self._views.view
        try:
            check_holder(view, caller)
        except UnknownKeyError as error:
            if view.version < caller.view_version:
                raise OwnerBehindError(
                    f"view {view.version} is older than the sender's "
                    f"{caller.view_version}"
                ) from error
            self._check_newest(caller)

    def _check_newest(self, caller: Caller) -> None:
        is_newest = self._confirmer.confirm()
        view = self._views.view
        try:
            check_holder(view, caller)
        except UnknownKeyError as error:
            if _is_held(view, caller):
                raise _refused("the key moved to another client account") from error
            if not is_newest:
                raise _refused(f"not confirmed by control yet: {error}") from error
            raise


def _is_held(view: ProxyView, caller: Caller) -> bool:
    return caller.key_digest in view.accounts_by_key


def _refused(message: str) -> NotServedError:
    return NotServedError(StatementError(ErrorCode.BUSY, message, NOT_READY_RETRY_MS))
