"""The command ``accounts``."""

from typing import Any

from dogwoodspool_api import const
from dogwoodspool_common import Address, HttpError
from dogwoodspool_settings.const import CONF_ACCOUNTS, ROOT_PATH

from .context import Arguments, Context
from .render import Report, format_table

HEADERS = ("ACCOUNT", "USERS", "RATE/S", "BURST", "OPERATIONS", "REFUSED", "AT")


def run_accounts(context: Context, _arguments: Arguments) -> Report:
    """Show the client accounts and what each used of its limit at which proxies."""
    nodes = context.control.tree().nodes
    root = next((node for node in nodes if node.path == ROOT_PATH), None)
    declared = root.overrides.get(CONF_ACCOUNTS, {}) if root else {}
    used, silent = _usage(context)
    accounts = [
        {"account": name, **declared.get(name, {}), "proxies": used.get(name, {})}
        for name in sorted({*declared, *used})
    ]
    lines = format_table(HEADERS, [_row(account) for account in accounts])
    lines += [f"no answer from {proxy}" for proxy in silent]
    return Report(lines, {"accounts": accounts, "silent": silent})


def _usage(context: Context) -> tuple[dict[str, dict[str, Any]], list[str]]:
    """Return the usage by account and proxy, and the proxies without an answer."""
    used: dict[str, dict[str, Any]] = {}
    silent = []
    for proxy in context.control.status().proxies:
        try:
            status = context.caller.get(Address.parse(proxy.address), const.PATH_STATUS)
        except HttpError:
            silent.append(proxy.proxy)
            continue
        for usage in status.get("accounts", []):
            used.setdefault(usage["account"], {})[proxy.proxy] = {
                "operations": usage["operations"],
                "rate_limited": usage["rate_limited"],
            }
    return used, silent


def _row(account: dict[str, Any]) -> tuple[Any, ...]:
    proxies = account["proxies"]
    rate = account.get("rate_per_second")
    return (
        account["account"],
        ",".join(account.get("users", [])),
        rate,
        account.get("burst", rate),
        sum(one["operations"] for one in proxies.values()),
        sum(one["rate_limited"] for one in proxies.values()),
        ",".join(f"{name}:{one['operations']}" for name, one in proxies.items()),
    )
