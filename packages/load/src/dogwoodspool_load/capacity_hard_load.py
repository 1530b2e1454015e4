"""The part of the capacity page on the users' targets under hard load."""

import json
from pathlib import Path
from typing import Final

from dogwoodspool_accounts.const import TOKEN_AGE_SECONDS
from dogwoodspool_pooler.const import MAX_CATCH_UP_WAITS
from dogwoodspool_sharing.const import MAX_FORWARDING_PROXIES
from dogwoodspool_sharing.parts import outside_part

from .capacity import DAEMONS

# Connections of a server that are set aside for proxies that are no owners, at most.
CONNECTIONS_OUTSIDE: Final = 6


def hard_load(measured: Path) -> str:
    """Return the section with the results in a file of measured days.

    Args:
        measured: JSON with the days of each deployment, their worth before and after,
            and the mean worth that its users aim at.
    """
    deployments = json.loads(measured.read_text())
    rows = "\n".join(
        f"| {one['name']} | {day['day']} | {_text(day['before'])} | "
        f"{_text(day['after'])} |"
        for one in deployments
        for day in one["days"]
    )
    targets = "; ".join(f"{one['name']} {one['target']}" for one in deployments)
    share = outside_part(CONNECTIONS_OUTSIDE, DAEMONS).turn_share
    return f"""
## Targets under hard load

Worth of the users' standard days (1 is all that was asked, less prices), one play of
each; "-" is not measured. Targets for the mean of the days with trouble: {targets}.
**Not met**; what binds is in the [design](design/hard-load.md).

| deployment | day | before | after |
|---|---|---|---|
{rows}

What the parts cost at size, by arithmetic: a proxy that is no owner may hold a
connection to a server for {share:.5f} of the time while {DAEMONS:,} daemons are
there, so that on average all of them together hold half of the {CONNECTIONS_OUTSIDE}
that are set aside for them; a read waits for a replica in its own process,
{MAX_CATCH_UP_WAITS} at a time at most; an operation whose token is older than
{TOKEN_AGE_SECONDS} s costs one message in its failure domain. Owners near a primary
are used by up to {MAX_FORWARDING_PROXIES} proxies: **not met** at size.
"""


def _text(worth: float | None) -> str:
    return "-" if worth is None else f"{worth:.3f}"
