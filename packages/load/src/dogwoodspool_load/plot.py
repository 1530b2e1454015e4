"""Plot a run: latency over time with the faults marked."""

from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import matplotlib
from dogwoodspool_common.const import MILLISECONDS

from .faults import InjectedFault
from .models import Outcome
from .statistics import Sample

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

FIGURE_INCHES: Final = (11, 5)
POINT_SIZE: Final = 3
DOTS_PER_INCH: Final = 100


def plot_run(
    path: Path,
    title: str,
    samples: Sequence[Sample],
    faults: Sequence[InjectedFault],
    begins_at: float,
) -> None:
    """Write a scatter plot with one point for each request.

    The time axis is in seconds from ``begins_at``, a monotonic time.
    """
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    points: dict[str, list[Sample]] = defaultdict(list)
    for sample in samples:
        is_ok = sample.outcome is Outcome.OK
        points[str(sample.kind) if is_ok else "not ok"].append(sample)
    for label, chosen in sorted(points.items()):
        axes.scatter(
            [sample.at - begins_at for sample in chosen],
            [sample.seconds * MILLISECONDS for sample in chosen],
            s=POINT_SIZE,
            marker="x" if label == "not ok" else "o",
            label=label,
        )
    for injected in faults:
        at = injected.at - begins_at
        axes.axvline(at, color="black", linestyle="--", linewidth=1)
        label = f"{injected.fault.action} {injected.detail}"
        axes.text(at, 1, label, rotation=90, transform=axes.get_xaxis_transform())
    axes.set_yscale("log")
    axes.set_xlabel("seconds")
    axes.set_ylabel("latency, ms")
    axes.set_title(title)
    if points:
        axes.legend(loc="upper right", fontsize="small")
    figure.savefig(path, dpi=DOTS_PER_INCH, bbox_inches="tight")
    pyplot.close(figure)
