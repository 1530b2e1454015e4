"""Guards of recovery."""

from typing import Any

from .model import CONTROL, Guard


def log_not_written() -> None:
    """Acknowledge entries that never reach the disk."""
    from dogwoodspool_consensus.storage import FileLogStorage

    FileLogStorage.append = lambda _self, _entries: None
    FileLogStorage.sync = lambda _self: None
    FileLogStorage.truncate = lambda _self, _index: None


def quorum_of_one() -> None:
    """Commit and lead without the other voters."""
    from dogwoodspool_consensus.models import Configuration

    Configuration.quorum = property(lambda _self: 1)


def identities_unchecked() -> None:
    """Count the votes and responses of a voter even if it has lost its files."""
    from dogwoodspool_consensus import election, reads, replication, snapshots
    from dogwoodspool_consensus.state import NodeState

    def check_request(_state: Any, _request: Any) -> None:
        return None

    for module in (election, reads, replication, snapshots):
        module.check_request = check_request
    election.Elections._may_vote = lambda _self, _request: True
    NodeState.pin = lambda _self, _incarnations: None


def missed_entries_not_sent() -> None:
    """Send a voter that returns only the entries appended from now on."""
    from dogwoodspool_consensus.replication import Replication

    original_delay = Replication._delay
    original_handle_response = Replication._handle_response
    # Without the first entries the first voters would not form a group.
    first_entries = 50

    def skip(self: Any, progress: Any) -> None:
        last = self._state.log.last_index
        if last > first_entries:
            progress.next_index = last + 1

    def _delay(self: Any, progress: Any) -> None:
        skip(self, progress)
        original_delay(self, progress)

    def _handle_response(self: Any, progress: Any, request: Any, response: Any) -> None:
        original_handle_response(self, progress, request, response)
        if not response.is_success:
            skip(self, progress)

    Replication._delay = _delay
    Replication._handle_response = _handle_response


def transaction_not_begun() -> None:
    """Commit each statement of a transaction separately."""
    from dogwoodspool_proxy.transactions import TransactionPath
    from expression import Ok

    def _begin_on(_self: Any, transaction: Any, held: Any, _deadline: float) -> Any:
        transaction.held = held
        return Ok(held)

    TransactionPath._begin_on = _begin_on


GUARDS = (
    Guard("log-not-written", log_not_written, CONTROL),
    Guard("quorum-of-one", quorum_of_one, CONTROL),
    Guard("identities-unchecked", identities_unchecked, CONTROL),
    Guard("missed-entries-not-sent", missed_entries_not_sent, CONTROL),
    Guard("transaction-not-begun", transaction_not_begun),
)
