"""Tests of how a role starts from the source tree."""

import json
import subprocess
import sys
import unittest
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parents[2]
LAUNCH: Final = ROOT / "platform" / "launch.py"
# Prints what is loaded once a role's own modules are, then the way that was searched.
PROBE: Final = """
import json, runpy, sys
before = list(sys.path)
runpy.run_path({launch!r}, run_name="probe")
import dogwoodspool_platform.{role}
print(json.dumps([list(sys.modules), before, sys.path]))
"""
# Parsers that only the command line and the MySQL front need.
NOT_NEEDED: Final = {"yaml", "sqlglot", "mysql_mimic", "pymysql"}


class LaunchTests(unittest.TestCase):
    """A restart keeps callers waiting for as long as the program takes to load."""

    def probe(self, role: str) -> tuple[list[str], list[str], list[str]]:
        done = subprocess.run(
            [sys.executable, "-c", PROBE.format(launch=str(LAUNCH), role=role)],
            capture_output=True,
            text=True,
            check=True,
        )
        modules, before, after = json.loads(done.stdout)
        return modules, before, after

    def test_no_role_loads_what_only_other_programs_need(self) -> None:
        for role in ("edge", "core"):
            with self.subTest(role=role):
                modules, _, _ = self.probe(role)
                self.assertEqual(set(modules) & NOT_NEEDED, set())

    def test_modules_are_looked_for_in_the_sources_last(self) -> None:
        _, before, after = self.probe("edge")
        self.assertEqual(after[: len(before)], before)
        self.assertIn(str(ROOT / "packages" / "pooler" / "src"), after[len(before) :])
