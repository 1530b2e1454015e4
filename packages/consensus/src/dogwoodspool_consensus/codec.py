"""Conversion between the models and the JSON that a node stores and sends."""

import json
from collections.abc import Mapping
from typing import Any

from dogwoodspool_common import Address

from .models import Configuration, Entry, EntryKind, Identity, Snapshot


def snapshot_to_json(snapshot: Snapshot) -> dict[str, Any]:
    """Return a snapshot as JSON-serializable content."""
    return {
        "index": snapshot.index,
        "term": snapshot.term,
        "configuration": snapshot.configuration.to_json(),
        "state": json.loads(snapshot.state),
    }


def snapshot_from_json(content: Mapping[str, Any]) -> Snapshot:
    """Parse the output of ``snapshot_to_json``."""
    return Snapshot(
        int(content["index"]),
        int(content["term"]),
        Configuration.from_json(content["configuration"]),
        json.dumps(content["state"], separators=(",", ":")),
    )


def entry_to_json(entry: Entry) -> dict[str, Any]:
    """Return an entry as JSON-serializable content."""
    return {
        "index": entry.index,
        "term": entry.term,
        "kind": entry.kind,
        "data": entry.data,
    }


def entry_from_json(record: Mapping[str, Any]) -> Entry:
    """Parse the output of ``entry_to_json``."""
    return Entry(
        int(record["index"]),
        int(record["term"]),
        EntryKind(record["kind"]),
        str(record["data"]),
    )


def identity_to_json(identity: Identity) -> dict[str, Any]:
    """Return an identity as JSON-serializable content."""
    voters = identity.initial_voters
    return {
        "node_id": identity.node_id,
        "incarnation": identity.incarnation,
        "initial_voters": None
        if voters is None
        else {name: str(address) for name, address in voters.items()},
    }


def identity_from_json(record: Mapping[str, Any]) -> Identity:
    """Parse the output of ``identity_to_json``."""
    voters = record["initial_voters"]
    return Identity(
        str(record["node_id"]),
        str(record["incarnation"]),
        None
        if voters is None
        else {name: Address.parse(text) for name, text in voters.items()},
    )
