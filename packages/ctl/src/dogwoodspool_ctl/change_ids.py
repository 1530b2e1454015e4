"""Create change ids; a declared change has the same id in each run of ``apply``."""

import hashlib
import hmac
import json
import uuid
from collections.abc import Mapping

from dogwoodspool_settings import PlannedChange

from .const import CHANGE_ID_LENGTH

GROUP_DEPTH = 2


def new_change_id() -> str:
    """Return a random id for a single change that an operator requests."""
    return f"ctl-{uuid.uuid4().hex}"


def derive_change_id(
    key: bytes, change: PlannedChange, versions: Mapping[str, int]
) -> str:
    """Return the id of a declared change.

    An interrupted run may have sent the change already. The next run derives the
    same id, so that control repeats its first answer instead of reporting a
    conflict with the operator's own change. The versions of the nodes that the
    answer depends on are part of the id: control remembers rejections too, and a
    change that was invalid only because of its parent must be evaluated again once
    the parent has changed.

    Args:
        key: the shared key; with it the id reveals no secrets of the content.
        change: the change to send.
        versions: the current versions of all nodes.
    """
    related = sorted(
        (path, version)
        for path, version in versions.items()
        if _is_related(path, change.path)
    )
    content = [change.path, change.expected_version, change.overrides, related]
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    digest = hmac.new(key, text.encode(), hashlib.sha256).hexdigest()
    return f"apply-{digest[:CHANGE_ID_LENGTH]}"


def _is_related(path: str, changed: str) -> bool:
    """Tell whether the answer to a change of one node depends on another node."""
    one, other = path.strip("/").split("/"), changed.strip("/").split("/")
    if path == "/" or changed == "/":
        return True
    shared = min(len(one), len(other))
    if one[:shared] == other[:shared]:
        return True
    # Names of groups are unique across all services.
    return len(one) == len(other) == GROUP_DEPTH and one[-1] == other[-1]
