"""Messages of proxies, limit owners and control's leader about tokens."""

from typing import Annotated

from dogwoodspool_api import Message, Name
from pydantic import Field

from .const import MAX_ACCOUNTS_PER_DRAW

TokenCount = Annotated[int, Field(ge=1)]


class AcquireRequest(Message):
    """Request for tokens of one account.

    Attributes:
        count: tokens wanted; fewer may be granted.
    """

    account: Name
    count: TokenCount = 1


class ExchangeRequest(Message):
    """Exchange of one token of an account for another one.

    Attributes:
        age: seconds since the token was taken, at the most.
    """

    account: Name
    age: float = Field(ge=0)


class ReturnRequest(Message):
    """Tokens of operations that did not run, by account.

    None of them is older than ``RETURN_AGE_SECONDS``.
    """

    unused: dict[Name, TokenCount]


class AcquireResponse(Message):
    """Tokens granted.

    Attributes:
        retry_after_ms: milliseconds until there may be a token, if none was granted.
    """

    granted: int = Field(ge=0)
    retry_after_ms: int = Field(default=0, ge=0)


class DrawRequest(Message):
    """Tokens that a limit owner wants from the leader, by account."""

    wanted: dict[Name, TokenCount] = Field(max_length=MAX_ACCOUNTS_PER_DRAW)


class DrawResponse(Message):
    """Tokens that the leader gives, by account; accounts without any are left out."""

    given: dict[Name, TokenCount]
