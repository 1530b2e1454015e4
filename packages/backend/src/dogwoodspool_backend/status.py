"""Read a backend server's status from the status statement's row."""

from collections.abc import Sequence

from dogwoodspool_common import ServerStatus
from pydantic import ValidationError

from .errors import UnreadableStatusError
from .models import Column, Row, StatusRow


def parse_status(columns: Sequence[Column], rows: Sequence[Row]) -> ServerStatus:
    """Return the status that one row of text values describes.

    Raises:
        UnreadableStatusError: for anything but one row with the wanted columns.
    """
    if len(rows) != 1:
        raise UnreadableStatusError(f"the status has {len(rows)} rows")
    names = [column.name.lower() for column in columns]
    try:
        values = [None if value is None else value.decode() for value in rows[0]]
        fields = dict(zip(names, values, strict=True))
        return StatusRow.model_validate(fields).value()
    except (ValidationError, ValueError) as error:
        raise UnreadableStatusError(f"unreadable status: {error}") from error
