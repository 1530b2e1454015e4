"""Settings, endpoints and accounts that an external system submits as one document.

The external system sends the complete configuration under a revision number of its
own. It is applied atomically to the settings tree and to the endpoints, or rejected
as a whole.
"""

import base64
import json
import zlib
from collections.abc import Iterator, Mapping
from dataclasses import asdict, dataclass, field
from typing import Any, Final

from dogwoodspool_common import ClientAccount, Endpoint
from dogwoodspool_settings import ChangeRejected, SettingsChange, SettingsTree
from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from ..errors import CommandRejectedError

CODE_BAD_DOCUMENT: Final = "bad_document"


@dataclass(frozen=True, slots=True)
class Document:
    """A complete description of the settings and endpoints.

    Attributes:
        nodes: overrides of each settings node in the document, by path.
        endpoints: all endpoints.
        source: the text that was submitted, returned on request.
        accounts: all client accounts; None if callers need no account.
    """

    nodes: Mapping[str, dict[str, Any]]
    endpoints: tuple[Endpoint, ...]
    source: str = ""
    accounts: tuple[ClientAccount, ...] | None = None


_document_adapter: Final = TypeAdapter(Document)


def pack(document: Document) -> str:
    """Encode a document for the replicated log.

    The JSON is compressed because the whole document is replicated to each voter
    whenever one value in it changes: with 350 endpoints it takes 110 KB as JSON and
    24 KB compressed.
    """
    text = json.dumps(asdict(document), separators=(",", ":"))
    return base64.b85encode(zlib.compress(text.encode())).decode()


def unpack(content: str) -> Document:
    """Decode the document of a log entry.

    Raises:
        CommandRejectedError: the content is not valid output of ``pack``.
    """
    try:
        text = zlib.decompress(base64.b85decode(content))
        return _document_adapter.validate_json(text)
    except (ValueError, zlib.error, ValidationError) as error:
        raise CommandRejectedError(CODE_BAD_DOCUMENT, str(error)) from error


@dataclass(frozen=True, slots=True)
class DocumentSnapshot:
    """The latest document in the form kept in a snapshot."""

    revision: int = 0
    content: str = ""


@dataclass(slots=True)
class DocumentState:
    """The latest document that was applied.

    Attributes:
        revision: revision of the document; 0 before the first one.
        content: the document as encoded by ``pack``.
        document: the decoded document.
    """

    revision: int = 0
    content: str = ""
    document: Document = field(default_factory=lambda: Document({}, ()))
    accounts_by_name: dict[str, ClientAccount] = field(init=False)

    def __post_init__(self) -> None:
        self._index_accounts()

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """All endpoints."""
        return self.document.endpoints

    @property
    def accounts(self) -> tuple[ClientAccount, ...]:
        """All client accounts."""
        return self.document.accounts or ()

    def account(self, name: str) -> ClientAccount | None:
        """Return one client account."""
        return self.accounts_by_name.get(name)

    @property
    def requires_account(self) -> bool:
        """Whether callers need a key of a client account."""
        return self.document.accounts is not None

    def replace(
        self, revision: int, content: str, author: str, tree: SettingsTree, index: int
    ) -> Result[bool, ChangeRejected]:
        """Apply a document and return whether its revision was newer.

        A revision that is equal to or lower than the current one changes nothing,
        whatever its content.
        """
        if revision <= self.revision:
            return Ok(False)
        document = unpack(content)
        changes = list(_changes(self.document, document, tree, revision, author))
        applied = tree.apply_together(changes, index)
        if applied.is_error():
            return Error(applied.error)
        self.revision, self.content, self.document = revision, content, document
        self._index_accounts()
        return Ok(True)

    def _index_accounts(self) -> None:
        self.accounts_by_name = {account.name: account for account in self.accounts}

    def snapshot(self) -> DocumentSnapshot:
        """Return the snapshot of this state."""
        return DocumentSnapshot(self.revision, self.content)

    @classmethod
    def restore(cls, snapshot: DocumentSnapshot) -> "DocumentState":
        """Restore the state from a snapshot."""
        if not snapshot.content:
            return cls()
        return cls(snapshot.revision, snapshot.content, unpack(snapshot.content))


def _changes(
    before: Document, after: Document, tree: SettingsTree, revision: int, author: str
) -> Iterator[SettingsChange]:
    """Yield the changes of nodes: parents before children, deletions last."""
    known = {node.path: node for node in tree.nodes()}
    change_id = f"document-{revision}"
    for path in sorted(after.nodes):
        node = known.get(path)
        overrides = after.nodes[path]
        if node is None or node.overrides != overrides:
            version = 0 if node is None else node.version
            yield SettingsChange(change_id, path, version, overrides, author)
    for path in sorted(set(before.nodes) - set(after.nodes), reverse=True):
        if path in known:
            version = known[path].version
            yield SettingsChange(change_id, path, version, None, author)
