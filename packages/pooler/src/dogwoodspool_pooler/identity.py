"""Decide on whose behalf a caller's statement runs."""

from dataclasses import dataclass

from dogwoodspool_common import Endpoint
from dogwoodspool_following import ProxyView

from .errors import UnknownKeyError
from .models import ErrorCode, StatementError


@dataclass(frozen=True, slots=True)
class Caller:
    """On whose behalf a statement runs.

    Attributes:
        account: name of the client account; empty if callers need none.
        key_digest: digest of the key that the caller presented.
        view_version: version of the view in which the account held the key.
    """

    account: str = ""
    key_digest: str = ""
    view_version: int = 0


ANONYMOUS = Caller()


def identify(view: ProxyView, endpoint: Endpoint, digest: str) -> Caller:
    """Return the caller that a key identifies at an endpoint.

    Raises:
        UnknownKeyError: the endpoint needs a key, and no account holds this one.
    """
    if not view.requires_account or endpoint.is_public:
        return ANONYMOUS
    account = view.accounts_by_key.get(digest)
    if account is None:
        raise UnknownKeyError(_refusal())
    return Caller(account.name, digest, view.version)


def check_holder(view: ProxyView, caller: Caller) -> None:
    """Check that a caller's account still holds its key.

    Raises:
        UnknownKeyError: it does not.
    """
    if not caller.account:
        return
    account = view.accounts_by_key.get(caller.key_digest)
    if account is None or account.name != caller.account:
        raise UnknownKeyError(_refusal())


def _refusal() -> StatementError:
    return StatementError(ErrorCode.UNKNOWN_KEY, "no client account holds this key")
