"""Parse a backend server's status from the row of the status statement."""

from collections.abc import Sequence

from dogwoodspool_common import ServerStatus
from pydantic import ValidationError

from .errors import UnreadableStatusError
from .models import Column, Row, StatusRow


def parse_status(columns: Sequence[Column], rows: Sequence[Row]) -> ServerStatus:
    """Return the status that a row of text values describes.

    Raises:
        UnreadableStatusError: the answer is not one row with the expected columns.
    """
    if len(rows) != 1:
        raise UnreadableStatusError(
            f"the status statement returned {len(rows)} rows instead of 1"
        )
    names = [column.name.lower() for column in columns]
    try:
        values = [None if value is None else value.decode() for value in rows[0]]
        fields = dict(zip(names, values, strict=True))
        return StatusRow.model_validate(fields).value()
    except (ValidationError, ValueError) as error:
        raise UnreadableStatusError(f"cannot parse the status: {error}") from error
