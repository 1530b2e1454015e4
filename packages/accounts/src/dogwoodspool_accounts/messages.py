"""Messages between proxies and the limit owners of their failure domain."""

from typing import Annotated

from dogwoodspool_api import Message, Name
from pydantic import Field


class AcquireRequest(Message):
    """Request for tokens of one account.

    Attributes:
        count: tokens wanted; fewer may be granted.
    """

    account: Name
    count: int = Field(default=1, ge=1)


class ReturnRequest(Message):
    """Tokens of operations that did not run, by account."""

    unused: dict[Name, Annotated[int, Field(ge=1)]]


class AcquireResponse(Message):
    """Tokens granted.

    Attributes:
        retry_after_ms: milliseconds until there may be a token, if none was granted.
    """

    granted: int = Field(ge=0)
    retry_after_ms: int = Field(default=0, ge=0)
