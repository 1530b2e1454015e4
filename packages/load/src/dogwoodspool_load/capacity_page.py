"""Render docs/CAPACITY.md: cost of each role at the scale to design for."""

import json
import math
import textwrap
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from dogwoodspool_accounts.const import (
    HOLD_SECONDS,
    LOCAL_HOLD_SECONDS,
    MIN_LIMIT_OWNERS,
    PROXIES_PER_OWNER,
)
from dogwoodspool_control.const import MAX_RENEW_ITEMS, MAX_SERVERS, MAX_WATCHERS
from dogwoodspool_sharing.roster import presence_interval

from .capacity import (
    BUDGET_BYTES,
    BUDGET_CPU_PERCENT,
    BUDGET_FAILOVER_MS,
    BUDGET_TRAFFIC,
    CHANGES_PER_DAY,
    CONNECTIONS,
    DAEMONS,
    DATABASES,
    FAILOVERS_PER_DAY,
    FAILURE_DOMAINS,
    INSTANCES,
    KILOBYTE,
    MAX_PROXIES,
    MEGABYTE,
    MILLISECONDS,
    PERCENT,
    RENEWALS_PER_SECOND,
    RESTARTS_PER_DAY,
    SECONDS_PER_DAY,
    SERVERS_PER_GROUP,
    STATEMENTS_PER_SECOND,
    Capacity,
)
from .capacity_hard_load import hard_load
from .slopes import Line

PAGE_WIDTH: Final = 88

# Measured days under hard load, beside the file of slopes.
HARD_LOAD_FILE: Final = "hard-load.json"
# Size of a heartbeat together with its answer, headers included, and of one
# neighbour in an answer.
HEARTBEAT_BYTES: Final = 700
NEIGHBOUR_BYTES: Final = 60


def render(slopes: Mapping[str, Any], hard_load_days: Path) -> str:
    """Return the page."""
    capacity = Capacity(slopes)
    parts = (
        _introduction(slopes),
        _proxy(capacity),
        _leader(capacity),
        _voter(capacity),
        _announcements(capacity),
        _operators(capacity),
        _statements(capacity),
        _times(capacity),
        _sharing(),
        _limits(),
        hard_load(hard_load_days),
        _unmeasured(),
        _points(capacity),
    )
    return "\n\n".join(_wrap_blocks(part.strip()) for part in parts) + "\n"


def render_file(path: Path) -> str:
    """Return the page for a file of measured slopes and the days beside it."""
    return render(json.loads(path.read_text()), path.parent / HARD_LOAD_FILE)


def _wrap_blocks(text: str) -> str:
    """Wrap paragraphs and list items at the page's width; leave tables unchanged."""
    return "\n\n".join(_wrap_block(block) for block in text.split("\n\n"))


def _wrap_block(block: str) -> str:
    if block.startswith(("|", "#")):
        return block
    points = [" ".join(point.split()) for point in f"\n{block}".split("\n- ")]
    if len(points) == 1:
        return textwrap.fill(points[0], PAGE_WIDTH, break_on_hyphens=False)
    return "\n".join(
        textwrap.fill(
            f"- {point}",
            PAGE_WIDTH,
            subsequent_indent="  ",
            break_on_hyphens=False,
        )
        for point in points
        if point
    )


def _introduction(slopes: Mapping[str, Any]) -> str:
    load = slopes["load_average"]
    return f"""
# Capacity

What each role costs at the size to design for. The figures are derived from
`measurements/slopes.json` by `script/generate-capacity-page`; `script/measure-slopes`
measured them, with {slopes["cores"]} cores, on {slopes["note"]} (load average
{load["saturation"][0]}, {load["proxy"][0]} and {load["control"][0]} at the end of its
three parts). Each line was fitted through three or more sizes. Wherever the size of
the letter lies far past the largest size measured, the figure is an extrapolation and
says only which way the design has to go; "not met" is then firm, "met" is not.

The size: {DAEMONS:,} daemons before {DATABASES:,} databases in {FAILURE_DOMAINS}
failure
domains, {CONNECTIONS:,} client connections,
{STATEMENTS_PER_SECOND:,} statements a second,
{FAILOVERS_PER_DAY} changes of primary a day within 9 s, {CHANGES_PER_DAY:,} changes of
configuration a day in force within 13 s. The budget for control: {BUDGET_CPU_PERCENT}%
of
a core, 256 MB and 17 KB/s per daemon, {INSTANCES} instances. A database is taken as one
backend server, {SERVERS_PER_GROUP} to a group: {DATABASES // SERVERS_PER_GROUP:,}
groups.
"""


def _proxy(capacity: Capacity) -> str:
    cpu, rss, traffic = capacity.idle_cpu, capacity.idle_rss, capacity.traffic
    fits = min(
        cpu.size_at(BUDGET_CPU_PERCENT),
        rss.size_at(BUDGET_BYTES),
        traffic.size_at(BUDGET_TRAFFIC),
    )
    rows = [
        _row("processor time, % of a core", cpu, BUDGET_CPU_PERCENT, 1, 2),
        _row("memory, MB", rss, BUDGET_BYTES, MEGABYTE, 0),
        _row("renewals and watch, KB/s", capacity.renew_traffic, None, KILOBYTE, 1),
        _row("probes, KB/s", capacity.probe_traffic, None, KILOBYTE, 1),
        _row(
            "announcements received, KB/s",
            capacity.announcement_traffic,
            None,
            KILOBYTE,
            1,
        ),
        _row("control traffic in all, KB/s", traffic, BUDGET_TRAFFIC, KILOBYTE, 1),
    ]
    table = "\n".join(rows)
    header = (
        f"| cost | at 0 servers | per server | at {cpu.largest:.0f} servers "
        f"| at all {DATABASES:,} | budget | servers within budget |"
    )
    return f"""
## Proxy (one daemon, without callers)

State: the whole committed view, one probe result per backend server, one grant per
group, a pool and a queue per backend server in use. Messages: one renewal each 300 ms
(its size grows with the servers, as it carries one observation each), one long poll,
one probe each 250 ms per server, announcements of its failure domain. Measured up to
{cpu.largest:.0f} servers.

{header}
|---|---|---|---|---|---|---|
{table}

All three budgets together hold up to {max(0, int(fits))} backend servers per daemon.
**Not yet met** at the size of the letter: today every proxy follows, probes and reports
every server. Mechanism that is to carry it, designed and not built: a daemon follows
only the subtrees of the groups that it serves; the daemons of a failure domain share
probes, and renewals go in one batch per failure domain that says only what changed.
"""


def _row(name: str, line: Line, budget: float | None, unit: float, digits: int) -> str:
    def shown(value: float) -> str:
        return f"{value / unit:z,.{digits}f}"

    limit = "" if budget is None else shown(budget)
    size = "" if budget is None else f"{int(line.size_at(budget)):,}"
    return (
        f"| {name} | {shown(line.base)} | {line.slope / unit:,.3g} | "
        f"{shown(line.at(line.largest))} | {shown(line.at(DATABASES))} | "
        f"{limit} | {size} |"
    )


def _leader(capacity: Capacity) -> str:
    cpu = capacity.leader_cpu
    cores = cpu.at(DAEMONS) / PERCENT
    full = int(cpu.size_at(PERCENT))
    groups = capacity.leader_cpu_by_servers
    shared = capacity.points_by_groups[0]["proxies"]
    batches = FAILURE_DOMAINS * RENEWALS_PER_SECOND
    both = groups.slope / shared * DAEMONS * DATABASES / PERCENT
    return f"""
## Control leader

State: the settings tree, groups, servers and proxies; grants and shares of every proxy.
Messages: {RENEWALS_PER_SECOND:.1f} renewals a second and one long poll per proxy.

- Processor time: {cpu.base:.1f}% of a core and {cpu.slope:.2f}% per proxy at
  {capacity.points_by_proxies[0]["servers"]} servers, measured up to
  {cpu.largest:.0f} proxies.
  One core is full at about {full:,} proxies; {DAEMONS:,} would take {cores:,.0f} cores
  of one Python process, which has one. **Not met.**
- With {shared} proxies each server adds {groups.slope:.2f}% of a core (measured up to
  {groups.largest:.0f} servers): every renewal carries and shares out every server, and
  the shares of a server are worked out over all proxies.
- Both together, at {DAEMONS:,} daemons that each report {DATABASES:,} servers, the
  second line gives {both:,.0f} cores: no tuning of this exchange gets there.
- Memory: {capacity.leader_rss.base / MEGABYTE:.0f} MB,
  {capacity.leader_rss.slope / KILOBYTE:.0f}
  KB per proxy, {capacity.leader_rss_by_servers.slope / KILOBYTE:.0f} KB per server.
- Traffic: {capacity.leader_traffic.slope / KILOBYTE:.1f} KB/s per proxy at
  {capacity.points_by_proxies[0]["servers"]} servers.
- Limits set in the code: {MAX_PROXIES:,} proxies, {MAX_SERVERS:,} servers,
  {MAX_RENEW_ITEMS} servers in a renewal, {MAX_WATCHERS} waiting long polls (further
  proxies are told when to poll again, 0.1 s to 2 s later).

Mechanism that exists: one renewal carries grants, shares, observations and
announcements together. Designed, not built: batches per failure domain, so that the
leader takes {batches:.0f} messages a second however many daemons there are; sharding of
groups over control groups, each below {MAX_SERVERS:,} servers. {DATABASES:,} servers
need
{-(-DATABASES // MAX_SERVERS)} such shards; of three voters each that would be
{-(-DATABASES // MAX_SERVERS) * 3} instances against {INSTANCES}, so that the voters of
several shards have to share an instance.
"""


def _voter(capacity: Capacity) -> str:
    per_day = capacity.log_bytes * CHANGES_PER_DAY
    return f"""
## Control voter

State: the replicated log and snapshots on disk, the same state as the leader's in
memory. Messages: heartbeats and entries from the leader. Each change of settings grew
the log by at most {capacity.log_bytes:,.0f} bytes; {CHANGES_PER_DAY:,} a day are
{per_day / MEGABYTE:.1f} MB, which snapshots bound. A follower's processor time and
traffic were not measured on their own. Mechanism that exists: snapshots, log
truncation, learners for replaced disks. Five of {INSTANCES} instances as voters over
{FAILURE_DOMAINS} failure domains leave two for replacement.
"""


def _announcements(capacity: Capacity) -> str:
    each = capacity.announcement_traffic.slope
    return f"""
## Announcements of backend servers

State: none at the server. Messages: one small POST per interval to every entry instance
of its failure domain: {each:,.0f} bytes/s for each pair of server and proxy, both ways.
With {DAEMONS // FAILURE_DOMAINS} daemons and {DATABASES // FAILURE_DOMAINS} servers in
a
failure domain a server would send {each * (DAEMONS // FAILURE_DOMAINS) / KILOBYTE:,.0f}
KB/s and a daemon receive {each * (DATABASES // FAILURE_DOMAINS) / KILOBYTE:,.0f} KB/s.
**Not met** for all-to-all; designed, not built: a server announces itself to a few
daemons of its failure domain, chosen by its name, which pass it on in the batch.
"""


def _operators(capacity: Capacity) -> str:
    interval = SECONDS_PER_DAY / CHANGES_PER_DAY
    return f"""
## ctl

State: declarations in files. Messages: one request per changed node;
{CHANGES_PER_DAY:,} a
day are one each {interval:.0f} s. Each change costs the leader
{capacity.change_cpu.base:.0f}
ms and {capacity.change_cpu.slope:.2f} ms per proxy that follows, as each gets the whole
view.
The program runs for one command and holds nothing; it was not measured on its own.
"""


def _statements(capacity: Capacity) -> str:
    best = capacity.peak_throughput
    wanted = STATEMENTS_PER_SECOND / DAEMONS
    reached = float(best["statements_per_second"])
    callers = CONNECTIONS / DAEMONS
    memory = capacity.caller_rss.at(callers)
    verdict = "met" if reached >= wanted else "not met"
    return f"""
## Statements and callers of one daemon

One proxy process served at most {reached:,.0f} plain reads a second
({best["callers"]} callers, {best["cpu_ms_per_statement"]:.2f} ms of processor time
each),
against {wanted:,.0f} wanted ({STATEMENTS_PER_SECOND:,} over {DAEMONS:,}):
**{verdict}**.
That is {wanted / reached:.1f} processes' worth per daemon. Writes cost more and were
not
driven to saturation. Designed, not built: several proxy processes on one instance's
port (`SO_REUSEPORT`), each a daemon of its own to control, so that control's batches
come first.

Callers: {capacity.caller_rss.slope / KILOBYTE:.1f} KB of memory for each idle
connection,
measured up to {capacity.caller_rss.largest:.0f}; {callers:,.0f} connections a daemon
would take {memory / MEGABYTE:,.0f} MB, which the letter's 256 MB for control do not
cover. The default `--max-callers` is 4,096 and would have to be raised.
"""


def _times(capacity: Capacity) -> str:
    force = capacity.in_force_delay
    view = capacity.view_bytes.at(DATABASES)
    burst = view * DAEMONS
    cpu_seconds = capacity.change_cpu.at(DAEMONS) / MILLISECONDS
    return f"""
## 13 s for a change of configuration, 9 s for a change of primary

A change was in force at the slowest of {force.largest:.0f} proxies after at worst
{force.at(force.largest):.0f} ms on the line ({force.base:.0f} ms and {force.slope:.2f}
ms
per proxy): **met at the sizes measured**. At {DAEMONS:,} the line says
{force.at(DAEMONS) / MILLISECONDS:.1f} s, but the leader's {cpu_seconds:.1f} s of
processor
time for each change, the {MAX_WATCHERS} waiting long polls and a view of
{view / MEGABYTE:.1f} MB ({burst / MEGABYTE:,.0f} MB for all daemons, for each of
{CHANGES_PER_DAY:,} changes) stand against it: **not met**. Mechanism that exists: a
long poll answered as soon as the log has applied. Designed, not built: only what
changed, to those that follow the subtree, through relays in each failure domain.

The failover gap of today's deployments is in `measurements/*-failover.json` (budget
{BUDGET_FAILOVER_MS / MILLISECONDS:.0f} s). It holds one release to each proxy with a
grant:
with grants for every daemon a release goes to {DAEMONS:,} of them; a daemon that
follows
only its groups, and the batch of its failure domain, keep that to a few. Not measured
at
more than 9 proxies.
"""


def _sharing() -> str:
    neighbours = math.ceil(DAEMONS / FAILURE_DOMAINS)
    pause = presence_interval(neighbours)
    names = neighbours * NEIGHBOUR_BYTES
    hashes = neighbours * DATABASES // SERVERS_PER_GROUP
    changes = RESTARTS_PER_DAY / FAILURE_DOMAINS
    roster_rate = names * changes / SECONDS_PER_DAY
    heartbeat_rate = HEARTBEAT_BYTES / pause
    return f"""
## Sharing pools, by arithmetic

A daemon sends a heartbeat every {pause:.1f} s ({neighbours} daemons in a failure
domain) and is told the names of its neighbours where they have changed:
{heartbeat_rate / KILOBYTE:.2f} KB/s and, with {changes:.0f} starts a day in its failure
domain, {names / KILOBYTE:.0f} KB for each of them, {roster_rate / KILOBYTE:.2f} KB/s:
**met**. A control process takes {neighbours / pause:.0f} of them a second for each
failure domain that turns to it, whatever its size.

Connections opened for 100 requests do not grow with the daemons (`script/emulate`,
[shared pools](decisions/shared-pools.md)). Each daemon assigns owners to all groups
anew with each change of its neighbours, {hashes:,} hashes: **not met** before
daemons follow only the groups that they use.
"""


def _limits() -> str:
    neighbours = math.ceil(DAEMONS / FAILURE_DOMAINS)
    owners = max(MIN_LIMIT_OWNERS, math.ceil(neighbours / PROXIES_PER_OWNER))
    draws = owners * FAILURE_DOMAINS / HOLD_SECONDS
    requests = 1 / LOCAL_HOLD_SECONDS
    return f"""
## Rate limits, by arithmetic

In each failure domain {owners} of {neighbours} daemons count the operations of client
accounts. One that runs short draws for {HOLD_SECONDS} s of demand, for all its accounts
at once: at most {draws:.0f} draws a second at the leader if every owner runs short all
the time: **not met**, as a control process answers some hundred requests a second.
Accounts whose base part suffices cause none. A daemon asks an owner at most
{requests:.0f} times a second for each account that its callers use, and once for each
operation where there are fewer: **met** for some tens of accounts at a daemon, **not
met** for hundreds. Nothing here grows with the operations themselves beyond that.
"""


def _unmeasured() -> str:
    interval = SECONDS_PER_DAY / RESTARTS_PER_DAY
    return f"""
## Not measured

- {RESTARTS_PER_DAY:,} restarts or replacements a day (one each {interval:.0f} s): each
  registers the instance by one committed entry and makes it fetch the whole view.
- Two regions with their latency, and regions that lose each other for an hour.
- The loss of a failure domain at size: the reconnects of its callers to the others.
- Followers among the voters, ctl, writes at saturation, more than 24 proxies.
"""


def _points(capacity: Capacity) -> str:
    lines = [
        "## Measured points",
        "",
        "| part | size | processor time, % | memory, MB | traffic, KB/s | further |",
        "|---|---|---|---|---|---|",
    ]
    for one in capacity.slopes["proxy"]:
        lines.append(
            f"| idle proxy | {one['groups']} groups, {one['servers']} servers | "
            f"{_usage(one)} | "
            f"probes {one['probe_bytes_per_second'] / KILOBYTE:.1f} KB/s |"
        )
    for one in capacity.slopes["control"]["points"]:
        lines.append(
            f"| control leader | {one['proxies']} proxies, {one['groups']} groups | "
            f"{_usage(one)} | {one['renewals_per_second']} renewals/s, "
            f"{one['changes_in_force']} of {one['changes']} changes in force, worst "
            f"{one['in_force_ms_worst']} ms |"
        )
    for one in capacity.slopes["saturation"]["points"]:
        lines.append(
            f"| proxy at saturation | {one['callers']} callers | | | | "
            f"{one['statements_per_second']:,.0f} statements/s, "
            f"{one['cpu_ms_per_statement']} ms each |"
        )
    for one in capacity.slopes["saturation"]["connections"]:
        lines.append(
            f"| proxy with idle callers | {one['callers']} callers | {_usage(one)} | |"
        )
    return "\n".join(lines)


def _usage(point: Mapping[str, Any]) -> str:
    return (
        f"{point['cpu_percent']} | {point['rss_bytes'] / MEGABYTE:.0f} | "
        f"{point['bytes_per_second'] / KILOBYTE:.1f}"
    )
