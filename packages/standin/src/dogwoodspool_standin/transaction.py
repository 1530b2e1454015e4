"""The transaction of one caller's connection."""

from .counters import StatementCounters
from .errors import StatementError
from .member import GroupMember
from .models import LoggedStatement
from .storage import Storage, StorageConnection


class Transaction:
    """Hold a storage connection, the write lock and the logged statements.

    Until its first write or locking read, each read of a transaction sees the data
    committed at that time. From then on the transaction holds the write lock, so
    that it never has to be retried.

    Args:
        storage: rows and log.
        member: this server's group member, which commits writes.
        counters: counts committed writes.
        lock_wait: maximum wait for the write lock, in seconds.
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
        """Whether a transaction is open in SQLite that a commit has to end."""
        return self._connection is not None and self._connection.is_in_transaction

    @property
    def holds_write_lock(self) -> bool:
        """Whether the transaction has made a write or a locking read."""
        return self._holds_write_lock

    @property
    def connection(self) -> StorageConnection:
        """The storage connection, opened on first use."""
        if self._connection is None:
            self._connection = self._storage.connect()
        return self._connection

    def open(self, is_snapshot: bool = False) -> None:
        """Begin; with a snapshot, all reads see the data of its time."""
        self._is_open = True
        if is_snapshot:
            self.connection.begin(is_write=False)

    def acquire_write_lock(self) -> None:
        """Acquire the write lock; this must come before acquiring a slot.

        A statement that waited for the lock while holding a slot would deny that
        slot to the lock's holder, whose commit needs one. Both would wait until a
        timeout.

        Raises:
            ReadOnlyError: this server accepts no writes.
            LockWaitTimeoutError: another transaction did not release the lock
                within the timeout.
        """
        self._member.check_writable()
        if self._holds_write_lock:
            return
        self._storage.write_lock.acquire(self._lock_wait)
        self._holds_write_lock = True
        if self.has_work:
            # A snapshot is already open: SQLite reports at the write whether it is
            # too old.
            return
        try:
            self.connection.begin(is_write=True)
        except StatementError:
            # With the lock but without a transaction, the next write would be
            # stored without a log entry and never reach a replica.
            self._release_write_lock()
            raise

    def record(self, statement: LoggedStatement) -> None:
        """Add an executed write statement to the log entry."""
        self._statements.append(statement)

    def commit(self) -> None:
        """Commit the writes as one log entry; the transaction ends in any case.

        Raises:
            ReadOnlyError: the server lost the right to write; all changes are rolled
                back.
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
        """Roll back uncommitted changes and release the write lock."""
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
