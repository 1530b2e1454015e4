"""Least-squares lines through measured points, and their extrapolation."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from .errors import LoadError

MIN_POINTS = 2


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line.

    Attributes:
        base: value at size 0.
        slope: growth per unit of size.
        largest: largest size that was measured.
    """

    base: float
    slope: float
    largest: float

    def at(self, size: float) -> float:
        """Return the value at a size; it is extrapolated outside the measured sizes."""
        return self.base + self.slope * size

    def size_at(self, value: float) -> float:
        """Return the size at which the line reaches a value; 0 if its base is above."""
        if self.base >= value:
            return 0.0
        return (value - self.base) / self.slope if self.slope > 0 else float("inf")


def fit_line(points: Iterable[Mapping[str, Any]], size: str, value: str) -> Line:
    """Fit a line through one figure of measured points.

    Raises:
        LoadError: the points have fewer than two different sizes.

    Example:
        >>> fit_line([{"n": 1, "ms": 3.0}, {"n": 3, "ms": 7.0}], "n", "ms")
        Line(base=1.0, slope=2.0, largest=3.0)
    """
    pairs = [(float(point[size]), float(point[value])) for point in points]
    if len({x for x, _ in pairs}) < MIN_POINTS:
        raise LoadError(f"{value} was measured at fewer than two sizes of {size}")
    mean_x = sum(x for x, _ in pairs) / len(pairs)
    mean_y = sum(y for _, y in pairs) / len(pairs)
    spread = sum((x - mean_x) ** 2 for x, _ in pairs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    return Line(mean_y - slope * mean_x, slope, max(x for x, _ in pairs))
