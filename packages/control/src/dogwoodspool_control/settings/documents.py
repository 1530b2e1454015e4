"""Settings and endpoints that come from outside as one complete document.

An outside system sends everything at once, under a revision of its own. It takes
effect as one change of the tree and of the endpoints, or not at all.
"""

import base64
import json
import zlib
from collections.abc import Iterator, Mapping
from dataclasses import asdict, dataclass, field
from typing import Any, Final

from dogwoodspool_common import Endpoint
from dogwoodspool_settings import ChangeRejected, SettingsChange, SettingsTree
from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from ..errors import CommandRejectedError

CODE_BAD_DOCUMENT: Final = "bad_document"


@dataclass(frozen=True, slots=True)
class Document:
    """A complete description of what is in force.

    Attributes:
        nodes: overrides of each settings node that it describes, by path.
        endpoints: all endpoints.
        source: the text from which it was made, for whoever asks for it back.
    """

    nodes: Mapping[str, dict[str, Any]]
    endpoints: tuple[Endpoint, ...]
    source: str = ""


_document_adapter: Final = TypeAdapter(Document)


def pack(document: Document) -> str:
    """Return the log's form of a document.

    It is compressed: a description of 350 endpoints has 110 KB as JSON and 24 KB
    so, and travels to each voter whenever one value in it changes.
    """
    text = json.dumps(asdict(document), separators=(",", ":"))
    return base64.b85encode(zlib.compress(text.encode())).decode()


def unpack(content: str) -> Document:
    """Return the document of a log entry.

    Raises:
        CommandRejectedError: the content is none that ``pack`` made.
    """
    try:
        text = zlib.decompress(base64.b85decode(content))
        return _document_adapter.validate_json(text)
    except (ValueError, zlib.error, ValidationError) as error:
        raise CommandRejectedError(CODE_BAD_DOCUMENT, str(error)) from error


@dataclass(frozen=True, slots=True)
class DocumentSnapshot:
    """What a snapshot holds of the newest document."""

    revision: int = 0
    content: str = ""


@dataclass(slots=True)
class DocumentState:
    """The newest document in force.

    Attributes:
        revision: its number; 0 before the first one.
        content: its packed form.
        document: its content.
    """

    revision: int = 0
    content: str = ""
    document: Document = field(default_factory=lambda: Document({}, ()))

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """All endpoints."""
        return self.document.endpoints

    def replace(
        self, revision: int, content: str, author: str, tree: SettingsTree, index: int
    ) -> Result[bool, ChangeRejected]:
        """Put a newer document in force; tell whether it was newer.

        A repeated or overtaken revision changes nothing, whatever its content.
        """
        if revision <= self.revision:
            return Ok(False)
        document = unpack(content)
        changes = list(_changes(self.document, document, tree, revision, author))
        applied = tree.apply_together(changes, index)
        if applied.is_error():
            return Error(applied.error)
        self.revision, self.content, self.document = revision, content, document
        return Ok(True)

    def snapshot(self) -> DocumentSnapshot:
        """Return what a snapshot holds."""
        return DocumentSnapshot(self.revision, self.content)

    @classmethod
    def restore(cls, held: DocumentSnapshot) -> "DocumentState":
        """Return the state that a snapshot holds."""
        if not held.content:
            return cls()
        return cls(held.revision, held.content, unpack(held.content))


def _changes(
    before: Document, after: Document, tree: SettingsTree, revision: int, author: str
) -> Iterator[SettingsChange]:
    """Return the changes of nodes, parents before children, deletions last."""
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
