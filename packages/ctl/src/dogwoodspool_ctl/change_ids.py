"""Change ids: the same change has the same id in each run of ``apply``."""

import hashlib
import hmac
import json
import uuid
from collections.abc import Mapping

from dogwoodspool_settings import PlannedChange

from .const import CHANGE_ID_LENGTH

GROUP_DEPTH = 2


def new_change_id() -> str:
    """Return an id for a change that an operator makes by hand."""
    return f"ctl-{uuid.uuid4().hex}"


def derived_change_id(
    key: bytes, change: PlannedChange, versions: Mapping[str, int]
) -> str:
    """Return the id of a declared change.

    A run that was cut off may have sent the change already. The next run derives
    the same id, so that control gives the first answer instead of a conflict of
    the operator with himself. The versions of the nodes that the answer depends
    on are part of it: control remembers rejections too, and a change that was
    invalid only because of its parent must be decided anew once that has changed.

    Args:
        key: the shared key; the id shows nothing of the secrets in the content.
        change: the change to send.
        versions: the versions of all nodes as they are now.
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
    # Names of groups are unique over all services.
    return len(one) == len(other) == GROUP_DEPTH and one[-1] == other[-1]
