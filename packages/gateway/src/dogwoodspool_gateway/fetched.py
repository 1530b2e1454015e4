"""Rows of an answer, taken from the backend server batch by batch."""

from itertools import islice

from dogwoodspool_common import DogwoodspoolError, log_event

from .const import ROWS_PER_BATCH
from .models import AnswerColumn, RowsAnswer
from .results import Row


class FetchedRows:
    """A result set with its next batch of rows at hand.

    The first batch is taken in the thread that ran the statement. A short result
    is complete with it, so that the statement changes threads only once; each
    change costs more than the rows do.

    Attributes:
        batch: rows that were taken and not written yet.
        failure: why the rows broke off; None where they did not.
    """

    def __init__(self, answer: RowsAnswer) -> None:
        self._answer = answer
        self._is_finished = False
        self.batch: list[Row] = []
        self.failure: DogwoodspoolError | None = None
        self.take()

    @property
    def columns(self) -> tuple[AnswerColumn, ...]:
        """The columns in order."""
        return self._answer.columns

    @property
    def is_finished(self) -> bool:
        """Tell whether no rows come after the batch at hand."""
        return self._is_finished

    def take(self) -> None:
        """Take the next batch; blocks until the backend server has sent it."""
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
        """Give up the rows that were not taken, as when the caller is gone."""
        self._finish(False)

    def _finish(self, is_complete: bool) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        self._answer.finish(is_complete)
