"""Serve single statements outside of transactions."""

from typing import Protocol

from .models import Reply
from .reads import ReadPath
from .requests import Request
from .writes import WritePath


class Statements(Protocol):
    """Interface that serves single statements, on local or remote connections."""

    def run(self, request: Request) -> Reply:
        """Serve one statement.

        Raises:
            NotServedError: the statement did not run.
        """
        ...


class LocalStatements:
    """Serve single statements with the pools of this process."""

    def __init__(self, reads: ReadPath, writes: WritePath) -> None:
        self._reads = reads
        self._writes = writes

    def run(self, request: Request) -> Reply:
        """Serve one statement; see ``Statements``."""
        return self._writes.run(request) if request.writes else self._reads.run(request)
