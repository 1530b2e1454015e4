"""Report the outcomes of emulations as JSON, as a table and as a plot."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import mean
from typing import Any

from .const import PLOT_SIZE
from .outcomes import Outcomes

COLUMNS = (
    "variant",
    "proxies",
    "in time",
    "worst s",
    "late",
    "refused",
    "connects/100",
    "refused connects/100",
    "work share",
    "refused by servers",
    "most connections",
    "at primaries",
    "crossing",
    "waits/100",
    "failed waits/100",
)


@dataclass(frozen=True, slots=True)
class Row:
    """The outcomes of one variant with one number of proxies, for each seed."""

    variant: str
    proxies: int
    outcomes: tuple[Outcomes, ...]

    def figures(self) -> dict[str, float]:
        """Return the means over all seeds."""
        outcomes = self.outcomes
        return {
            "in_time": mean(one.served_share for one in outcomes),
            "worst_second": mean(one.worst_window for one in outcomes),
            "late": mean(one.late / max(1, one.requests) for one in outcomes),
            "refused": mean(one.refused / max(1, one.requests) for one in outcomes),
            "connects_per_100": mean(one.connects_per_100 for one in outcomes),
            "refused_connects_per_100": mean(
                100 * one.servers.refused_connects / max(1, one.requests)
                for one in outcomes
            ),
            "work_share": mean(one.servers.work_share for one in outcomes),
            "refused_by_servers": mean(
                (one.servers.refusals + one.servers.behind)
                / max(1, one.servers.arrivals)
                for one in outcomes
            ),
            "most_connections": max(one.servers.most_connections for one in outcomes),
            "primary_share": mean(one.servers.primary_share for one in outcomes),
            "crossing_share": mean(one.servers.crossing_share for one in outcomes),
            "waits_per_100": mean(
                100 * one.servers.waits / max(1, one.requests) for one in outcomes
            ),
            "failed_waits_per_100": mean(
                100 * one.servers.failed_waits / max(1, one.requests)
                for one in outcomes
            ),
        }


def as_json(rows: Sequence[Row]) -> str:
    """Return the means, and the counts of each seed, as JSON."""
    content: list[dict[str, Any]] = [
        {
            "variant": row.variant,
            "proxies": row.proxies,
            **row.figures(),
            "seeds": [
                {
                    "requests": one.requests,
                    "in_time": one.in_time,
                    "late": one.late,
                    "refused": one.refused,
                    "reasons": dict(one.reasons),
                    "kinds": {kind: dict(counts) for kind, counts in one.kinds.items()},
                    "windows": [
                        {"at": at, **counts}
                        for at, counts in sorted(one.windows.items())
                    ],
                }
                for one in row.outcomes
            ],
        }
        for row in rows
    ]
    return json.dumps(content, indent=1)


def as_table(rows: Sequence[Row]) -> str:
    """Return the means over all seeds as a table with one line per row."""
    lines = [list(COLUMNS)]
    for row in rows:
        figures = row.figures()
        lines.append(
            [
                row.variant,
                str(row.proxies),
                f"{figures['in_time']:.3f}",
                f"{figures['worst_second']:.3f}",
                f"{figures['late']:.3f}",
                f"{figures['refused']:.3f}",
                f"{figures['connects_per_100']:.1f}",
                f"{figures['refused_connects_per_100']:.1f}",
                f"{figures['work_share']:.3f}",
                f"{figures['refused_by_servers']:.3f}",
                f"{figures['most_connections']:.0f}",
                f"{figures['primary_share']:.3f}",
                f"{figures['crossing_share']:.3f}",
                f"{figures['waits_per_100']:.1f}",
                f"{figures['failed_waits_per_100']:.1f}",
            ]
        )
    widths = [
        max(len(line[column]) for line in lines) for column in range(len(COLUMNS))
    ]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )


def save_plot(rows: Sequence[Row], path: Path) -> None:
    """Plot the fraction answered in time by second for each row's first seed."""
    # Imported here, since only runs with a plot need matplotlib.
    from matplotlib.figure import Figure  # noqa: PLC0415

    figure = Figure(figsize=PLOT_SIZE)
    axes = figure.subplots()
    for row in rows:
        first = row.outcomes[0]
        shown = sorted(first.windows.items())
        shares = [counts["in_time"] / counts["requests"] for _, counts in shown]
        label = f"{row.variant}, {row.proxies} proxies"
        axes.plot([at for at, _ in shown], shares, label=label)
    axes.set_xlabel("second")
    axes.set_ylabel("answered in time")
    axes.set_ylim(0, 1.02)
    axes.legend()
    figure.savefig(path)
