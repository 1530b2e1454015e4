"""The commands ``plan`` and ``apply``."""

from pathlib import Path
from typing import Any

from dogwoodspool_api import SettingsChangeRequest
from dogwoodspool_settings import PlannedChange, plan
from dogwoodspool_settings.declarations import load_declarations

from .change_ids import derive_change_id
from .context import Arguments, Context
from .errors import CtlError, DeclinedError
from .models import TreeAnswer
from .render import Report, change_data, change_lines
from .rollout import wait_until_in_force
from .secrets import SecretReader

NOTHING_TO_CHANGE = "nothing to change"


def run_plan(context: Context, arguments: Arguments) -> Report:
    """Show what ``apply`` would change."""
    changes = _plan(context, Path(arguments["DIR"]), context.control.tree())
    key = context.settings.key
    lines = [line for change in changes for line in change_lines(change, key)]
    data = {"changes": [change_data(change, key) for change in changes]}
    return Report(lines or [NOTHING_TO_CHANGE], data)


def run_apply(context: Context, arguments: Arguments) -> Report:
    """Change the tree to the declared state, one node after the other.

    An interrupted run can be started again: the changes that were committed are in
    the tree, and a change that may have been sent gets the same change id.
    """
    tree = context.control.tree()
    changes = _plan(context, Path(arguments["DIR"]), tree)
    view_version = tree.view_version
    accepted: list[dict[str, Any]] = []
    if changes:
        _confirm(context, changes, bool(arguments["--yes"]))
        view_version = _send_changes(context, changes, tree, accepted)
    lines = [] if changes else [NOTHING_TO_CHANGE]
    data: dict[str, Any] = {"accepted": accepted, "view_version": view_version}
    if arguments["--wait"]:
        data["in_force_at"] = wait_until_in_force(
            context.control, context.clock, view_version, context.settings.timeout_s
        )
        lines.append(f"in force at all {data['in_force_at']} proxies")
    return Report(lines, data)


def _plan(context: Context, folder: Path, tree: TreeAnswer) -> list[PlannedChange]:
    reader = SecretReader(folder, context.environment)
    declared = {
        node.path: reader.resolve(node.overrides, node.secret_sources)
        for node in load_declarations(folder)
    }
    return plan(declared, tree.nodes, context.settings.key)


def _confirm(
    context: Context, changes: list[PlannedChange], is_confirmed: bool
) -> None:
    for change in changes:
        for line in change_lines(change, context.settings.key):
            context.show(line)
    if not is_confirmed and not context.confirm(f"apply {len(changes)} changes?"):
        raise DeclinedError("nothing was changed: not confirmed (use --yes)")


def _send_changes(
    context: Context,
    changes: list[PlannedChange],
    tree: TreeAnswer,
    accepted: list[dict[str, Any]],
) -> int:
    versions = {node.path: node.version for node in tree.nodes}
    view_version = tree.view_version
    for change in changes:
        request = SettingsChangeRequest(
            change_id=derive_change_id(context.settings.key, change, versions),
            path=change.path,
            expected_version=change.expected_version,
            overrides=change.overrides,
            author=context.settings.author,
        )
        try:
            response = context.control.change(request)
        except CtlError as error:
            error.details["accepted"] = accepted
            raise
        versions[change.path] = response.version
        if change.overrides is None:
            del versions[change.path]
        view_version = max(view_version, response.view_version)
        accepted.append({"path": change.path, "version": response.version})
        context.show(f"accepted {change.action} {change.path} as {response.version}")
    return view_version
