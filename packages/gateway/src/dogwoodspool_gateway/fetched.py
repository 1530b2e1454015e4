"""Rows of a result set, fetched from the backend server in batches."""

from itertools import islice

from dogwoodspool_common import DogwoodspoolError, log_event

from .const import ROWS_PER_BATCH
from .models import AnswerColumn, RowsAnswer
from .results import Row


class FetchedRows:
    """Fetch a result set in batches.

    The first batch is fetched in the thread that ran the statement. A short result
    is complete after it, so that its statement changes threads only once; each
    change of threads costs more than fetching the rows.

    Attributes:
        batch: rows that were fetched and not yet written.
        failure: error that interrupted the result; None if there was none.
    """

    def __init__(self, answer: RowsAnswer) -> None:
        self._answer = answer
        self._is_finished = False
        self.batch: list[Row] = []
        self.failure: DogwoodspoolError | None = None
        self.fetch_batch()

    @property
    def columns(self) -> tuple[AnswerColumn, ...]:
        """Return the columns in order."""
        return self._answer.columns

    @property
    def is_finished(self) -> bool:
        """Return whether there are no rows after the current batch."""
        return self._is_finished

    def fetch_batch(self) -> None:
        """Fetch the next batch; blocks until the backend server has sent it."""
        try:
            self.batch = list(islice(self._answer.rows, ROWS_PER_BATCH))
        except DogwoodspoolError as error:
            log_event("result_broken_off", level="WARNING", error=error)
            self.batch = []
            self.failure = error
            self._finish(False)
            return
        if len(self.batch) < ROWS_PER_BATCH:
            self._finish(True)

    def abandon(self) -> None:
        """Discard the rows that were not fetched, for example if the caller left."""
        self._finish(False)

    def _finish(self, is_complete: bool) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        self._answer.finish(is_complete)
