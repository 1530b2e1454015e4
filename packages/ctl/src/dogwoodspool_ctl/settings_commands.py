"""The commands ``get``, ``set``, ``history`` and ``rollback``."""

from pathlib import Path
from typing import Any

import yaml
from dogwoodspool_api import SettingsChangeRequest, SettingsNode
from dogwoodspool_settings import keep_secrets_of_version, split_secret_sources

from .change_ids import new_change_id
from .const import SECTION_KEYS, TEXT_KEYS
from .context import Arguments, Context
from .errors import BadArgumentError, RejectedError
from .render import Report, flatten, format_table
from .rollout import wait_until_in_force
from .secrets import SecretReader


def run_get(context: Context, arguments: Arguments) -> Report:
    """Show a node's overrides, or with ``--explain`` each value in force."""
    path = arguments["PATH"]
    if arguments["--explain"]:
        values = context.control.effective(path).values
        rows = [(value.key, value.value, value.from_path) for value in values]
        data = {"values": [value.model_dump(mode="json") for value in values]}
        return Report(format_table(("KEY", "VALUE", "FROM"), rows), data)
    node = _find_node(context, path)
    if node is None:
        raise RejectedError(f"{path}: there is no such node", path=path)
    lines = [f"{path} version {node.version}"]
    lines += format_table(("KEY", "VALUE"), sorted(flatten(node.overrides).items()))
    return Report(lines, node.model_dump(mode="json"))


def run_set(context: Context, arguments: Arguments) -> Report:
    """Change some overrides of a node; the others stay, secrets too."""
    path = arguments["PATH"]
    node = _find_node(context, path)
    overrides = dict(node.overrides) if node else {}
    for assignment in arguments["KEY=VALUE"]:
        _assign(overrides, assignment)
    rest, sources = split_secret_sources(overrides)
    resolved = SecretReader(Path.cwd(), context.environment).resolve(rest, sources)
    return _send_change(context, arguments, path, node, resolved)


def run_history(context: Context, arguments: Arguments) -> Report:
    """Show accepted changes, the newest first."""
    entries = context.control.history(arguments["PATH"]).entries
    headers = ("INDEX", "PATH", "VERSION", "AUTHOR", "OVERRIDES")
    rows = [
        (entry.index, entry.path, entry.version, entry.author, entry.overrides)
        for entry in entries
    ]
    data = {"entries": [entry.model_dump(mode="json") for entry in entries]}
    return Report(format_table(headers, rows), data)


def run_rollback(context: Context, arguments: Arguments) -> Report:
    """Give a node the overrides that it had at a version, as a new change."""
    path, version = arguments["PATH"], _parse_version(arguments["VERSION"])
    entries = context.control.history(path).entries
    found = [entry for entry in entries if entry.version == version]
    if not found:
        raise RejectedError(
            f"{path}: version {version} is not in the history", path=path
        )
    overrides = found[0].overrides
    if overrides is not None:
        # The history has secrets redacted; control restores those of that version.
        overrides = keep_secrets_of_version(overrides, version)
    return _send_change(context, arguments, path, _find_node(context, path), overrides)


def _send_change(
    context: Context,
    arguments: Arguments,
    path: str,
    node: SettingsNode | None,
    overrides: dict[str, Any] | None,
) -> Report:
    request = SettingsChangeRequest(
        change_id=new_change_id(),
        path=path,
        expected_version=node.version if node else 0,
        overrides=overrides,
        author=context.settings.author,
    )
    response = context.control.change(request)
    lines = [f"accepted {path} as version {response.version}"]
    data = response.model_dump(mode="json")
    if arguments["--wait"]:
        data["in_force_at"] = wait_until_in_force(
            context.control,
            context.clock,
            response.view_version,
            context.settings.timeout_s,
        )
        lines.append(f"in force at all {data['in_force_at']} proxies")
    return Report(lines, data)


def _find_node(context: Context, path: str) -> SettingsNode | None:
    nodes = context.control.tree().nodes
    return next((node for node in nodes if node.path == path), None)


def _assign(overrides: dict[str, Any], assignment: str) -> None:
    key, separator, text = assignment.partition("=")
    if not separator or not key:
        raise BadArgumentError(f"{key!r} is not KEY=VALUE")
    section, _, name = key.partition(".")
    is_nested = bool(name) and section in SECTION_KEYS
    target = dict(overrides.get(section, {})) if is_nested else overrides
    target_key = name if is_nested else key
    if text:
        target[target_key] = _parse_value(section, is_nested, text)
    else:
        # An empty value removes the override, and the key is inherited again.
        target.pop(target_key, None)
    if is_nested and (text or section in overrides):
        overrides[section] = target


def _parse_value(section: str, is_nested: bool, text: str) -> Any:
    if (is_nested or section in TEXT_KEYS) and not text.startswith("{"):
        return text
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise BadArgumentError(f"{section}: the value is not valid YAML") from error


def _parse_version(text: str) -> int:
    if not text.isdecimal():
        raise BadArgumentError(f"VERSION {text!r} is not a whole number")
    return int(text)
