"""The commands about instances: status, rollout, promote, drain, forget, voters."""

from typing import Any

from dogwoodspool_api import PromoteRequest, const
from dogwoodspool_common import Address, PeerRefusedError, PeerUnreachableError
from pydantic import ValidationError

from .change_ids import new_change_id
from .context import Arguments, Context
from .errors import BadArgumentError, ControlUnreachableError, RejectedError
from .models import ProxyStatus, StatusAnswer, VotersRequest
from .render import Report, format_table


def run_status(context: Context, _arguments: Arguments) -> Report:
    """Show the leader, voters, groups, backend servers and proxies."""
    try:
        status = context.control.status()
    except ControlUnreachableError:
        # A partition without the leader still shows the state that its own voters
        # know; if no voter answers either, this raises the same error.
        status = context.control.status_of_any()
    leader = status.leader or "unknown"
    lines = [f"leader {leader}", f"version {status.view_version}", ""]
    lines += ["voters", *_voter_lines(status.voters), ""]
    lines += [*_group_lines(status), "", *_promotion_lines(status)]
    lines += [*_server_lines(status), ""]
    lines += _proxy_lines(status.proxies, status.view_version)
    return Report(lines, status.model_dump(mode="json"))


def run_rollout(context: Context, _arguments: Arguments) -> Report:
    """Show which version is in force at each proxy."""
    status = context.control.status()
    proxies = [
        {
            **proxy.model_dump(mode="json"),
            "is_current": proxy.has_reached(status.view_version),
        }
        for proxy in status.proxies
    ]
    lines = [f"version {status.view_version}"]
    lines += _proxy_lines(status.proxies, status.view_version)
    return Report(lines, {"view_version": status.view_version, "proxies": proxies})


def run_promote(context: Context, arguments: Arguments) -> Report:
    """Request a switchover of a group's primary."""
    try:
        request = PromoteRequest(
            change_id=new_change_id(),
            group=arguments["GROUP"],
            candidate=arguments["--to"],
        )
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        raise BadArgumentError(f"{first['loc'][0]}: {first['msg']}") from error
    answer = context.control.promote(request)
    return Report([f"promotion of {request.group} accepted"], answer)


def run_drain(context: Context, arguments: Arguments) -> Report:
    """Ask one proxy to finish requests in flight and to accept no new callers."""
    name = arguments["PROXY"]
    proxies = context.control.status().proxies
    proxy = next((proxy for proxy in proxies if proxy.proxy == name), None)
    if proxy is None:
        raise RejectedError(f"{name}: there is no such proxy")
    try:
        answer = context.caller.post(Address.parse(proxy.address), const.PATH_DRAIN, {})
    except PeerRefusedError as error:
        raise RejectedError(f"{name}: {error.detail}", code=error.code) from error
    except PeerUnreachableError as error:
        raise ControlUnreachableError(
            f"{name} did not answer and may be draining; the command can be repeated "
            f"safely ({error})"
        ) from error
    return Report([f"{name} is draining"], answer)


def run_forget(context: Context, arguments: Arguments) -> Report:
    """Remove a proxy that will not come back, with its share of connections."""
    answer = context.control.forget_proxy(arguments["PROXY"])
    return Report([f"{arguments['PROXY']} is forgotten"], answer)


def run_voters(context: Context, arguments: Arguments) -> Report:
    """List the voters, add one or remove one."""
    if arguments["add"]:
        return _add_voter(context, arguments["ID"], arguments["HOST:PORT"])
    if arguments["remove"]:
        request = VotersRequest(voter=arguments["ID"])
        answer = context.control.change_voters(request)
        return Report([f"voter {request.voter} removed"], answer)
    voters = context.control.voters().voters
    return Report(_voter_lines(voters), {"voters": voters})


def _add_voter(context: Context, identity: str, address: str) -> Report:
    try:
        Address.parse(address)
    except ValueError as error:
        raise BadArgumentError(str(error)) from error
    request = VotersRequest(voter=identity, address=address)
    answer = context.control.change_voters(request)
    return Report([f"voter {identity} added"], answer)


def _voter_lines(voters: list[Any]) -> list[str]:
    if not all(isinstance(voter, dict) for voter in voters):
        return [f"  {voter}" for voter in voters]
    return [
        "  " + " ".join(f"{key}={value}" for key, value in voter.items())
        for voter in voters
    ]


def _group_lines(status: StatusAnswer) -> list[str]:
    headers = ("GROUP", "TERM", "PRIMARY", "PHASE")
    rows = [
        (group.name, group.term, group.primary, str(group.phase))
        for group in status.groups
    ]
    return format_table(headers, rows)


def _promotion_lines(status: StatusAnswer) -> list[str]:
    if not status.promotions:
        return []
    headers = ("PROMOTION OF", "TERM", "REASON", "STEP", "WAITING FOR")
    rows = [
        (row.group, row.term, row.reason, row.step, ", ".join(row.waiting_for))
        for row in status.promotions
    ]
    return [*format_table(headers, rows), ""]


def _server_lines(status: StatusAnswer) -> list[str]:
    headers = ("SERVER", "GROUP", "FAILURE DOMAIN", "ADDRESS", "LEAVING")
    rows = [
        (row.server, row.group, row.failure_domain, row.address, row.is_leaving)
        for row in status.servers
    ]
    return format_table(headers, rows)


def _proxy_lines(proxies: list[ProxyStatus], view_version: int) -> list[str]:
    headers = ("PROXY", "FAILURE DOMAIN", "ADDRESS", "VERSION", "BEHIND", "RENEWED S")
    rows = [
        (
            proxy.proxy,
            proxy.failure_domain,
            proxy.address,
            proxy.view_version,
            _behind(proxy, view_version),
            proxy.seconds_since_renewal,
        )
        for proxy in proxies
    ]
    return format_table(headers, rows)


def _behind(proxy: ProxyStatus, view_version: int) -> int | None:
    if proxy.view_version is None:
        return None
    return max(0, view_version - proxy.view_version)
