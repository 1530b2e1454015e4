"""The transaction of one caller's connection."""

from .counters import StatementCounters
from .errors import StatementError
from .member import GroupMember
from .models import LoggedStatement
from .storage import Storage, StorageConnection


class Transaction:
    """Hold a connection to the rows, the write lock and what was written.

    A transaction sees what is committed at each of its reads until its first
    write or locking read; from then on it holds the write lock, so that it needs
    no retry.

    Args:
        storage: rows and log.
        member: this server, which commits writes.
        counters: counts committed writes.
        lock_wait: longest wait for the write lock, seconds.
    """

    def __init__(
        self,
        storage: Storage,
        member: GroupMember,
        counters: StatementCounters,
        lock_wait: float,
    ) -> None:
        self._storage = storage
        self._member = member
        self._counters = counters
        self._lock_wait = lock_wait
        self._connection: StorageConnection | None = None
        self._is_open = False
        self._holds_write_lock = False
        self._statements: list[LoggedStatement] = []

    @property
    def is_open(self) -> bool:
        """Whether a transaction is open, as the status flag says."""
        return self._is_open

    @property
    def has_work(self) -> bool:
        """Whether a commit has something to do."""
        return self._connection is not None and self._connection.is_in_transaction

    @property
    def holds_write_lock(self) -> bool:
        """Whether the transaction has written or read with a lock."""
        return self._holds_write_lock

    @property
    def connection(self) -> StorageConnection:
        """The connection to the rows, opened at its first use."""
        if self._connection is None:
            self._connection = self._storage.connect()
        return self._connection

    def open(self, is_snapshot: bool = False) -> None:
        """Begin; a snapshot is what all reads up to the end see."""
        self._is_open = True
        if is_snapshot:
            self.connection.begin(is_write=False)

    def become_writer(self) -> None:
        """Take the write lock, before a slot and never the other way round.

        A statement that waited for the lock in a slot would keep the slot from
        the lock's holder, whose commit needs one; both would wait until a
        timeout.

        Raises:
            ReadOnlyError: this server takes no writes.
            LockWaitTimeoutError: another transaction kept the lock.
        """
        self._member.check_writable()
        if self._holds_write_lock:
            return
        self._storage.write_lock.acquire(self._lock_wait)
        self._holds_write_lock = True
        if self.has_work:
            # A snapshot of before: SQLite says whether it is too old to write.
            return
        try:
            self.connection.begin(is_write=True)
        except StatementError:
            # With the lock but no transaction the next write would go in
            # without a log entry, and no replica would ever have it.
            self._release_write_lock()
            raise

    def record(self, statement: LoggedStatement) -> None:
        """Note a write that was run, for the log entry."""
        self._statements.append(statement)

    def commit(self) -> None:
        """Commit what was written as one log entry; end in any case.

        Raises:
            ReadOnlyError: the server lost the right to write; all is undone.
        """
        try:
            if self._statements:
                self._member.commit(self.connection, tuple(self._statements))
                self._counters.count_write()
            elif self.has_work:
                self.connection.commit()
        finally:
            self.rollback()

    def rollback(self) -> None:
        """Undo what is not committed and give the write lock back."""
        if self._connection is not None:
            self._connection.rollback()
        self._is_open = False
        self._statements = []
        self._release_write_lock()

    def close(self) -> None:
        """Roll back and close the connection."""
        self.rollback()
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _release_write_lock(self) -> None:
        if self._holds_write_lock:
            self._holds_write_lock = False
            self._storage.write_lock.release()
