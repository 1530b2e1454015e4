"""Tests of fitted lines and of the page that is rendered from the slopes."""

import unittest
from pathlib import Path

from dogwoodspool_load import LoadError
from dogwoodspool_load.capacity_page import render_file
from dogwoodspool_load.slopes import fit_line

ROOT = Path(__file__).resolve().parent.parent.parent


class LineTests(unittest.TestCase):
    """Lines through measured points."""

    def test_a_line_through_collinear_points_is_exact(self) -> None:
        points = [{"n": n, "ms": 2.0 + 0.5 * n} for n in (1, 4, 9)]
        line = fit_line(points, "n", "ms")
        self.assertAlmostEqual(line.at(100), 52.0)
        self.assertAlmostEqual(line.size_at(4.0), 4.0)
        self.assertEqual(line.largest, 9)

    def test_the_size_is_zero_if_the_base_is_above_the_value(self) -> None:
        points = [{"n": 1, "ms": 3.0}, {"n": 2, "ms": 4.0}]
        self.assertEqual(fit_line(points, "n", "ms").size_at(1.0), 0.0)

    def test_a_single_size_raises(self) -> None:
        points = [{"n": 1, "ms": 3.0}, {"n": 1, "ms": 4.0}]
        with self.assertRaisesRegex(LoadError, "fewer than two"):
            fit_line(points, "n", "ms")


class CapacityPageTests(unittest.TestCase):
    """The page in docs/ matches the measured slopes."""

    def test_the_page_is_current(self) -> None:
        page = (ROOT / "docs" / "CAPACITY.md").read_text()
        rendered = render_file(ROOT / "measurements" / "slopes.json")
        self.assertEqual(page, rendered, "run script/generate-capacity-page")
