"""Tests of starting a role from the source tree."""

import json
import subprocess
import sys
import unittest
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parents[2]
LAUNCH: Final = ROOT / "platform" / "launch.py"
# Prints the modules loaded after importing a role, then the import path before and
# after.
PROBE: Final = """
import json, runpy, sys
before = list(sys.path)
runpy.run_path({launch!r}, run_name="probe")
import dogwoodspool_platform.{role}
print(json.dumps([list(sys.modules), before, sys.path]))
"""
# Receives SIGHUP when the program's first module is about to be loaded.
SIGNALLED_WHILE_LOADING: Final = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "dogwoodspool_platform":
            os.kill(os.getpid(), signal.SIGHUP)

signal.signal(signal.SIGHUP, signal.SIG_DFL)
sys.meta_path.insert(0, Finder())
runpy.run_path({launch!r}, run_name="probe")
assert "dogwoodspool_platform.main" in sys.modules
"""
# Parsers that only the command line and the MySQL gateway need.
UNNEEDED_MODULES: Final = {"yaml", "sqlglot", "mysql_mimic", "pymysql"}


class LaunchTests(unittest.TestCase):
    """After a restart callers are not served until the role has loaded."""

    def probe(self, role: str) -> tuple[list[str], list[str], list[str]]:
        done = subprocess.run(
            [sys.executable, "-c", PROBE.format(launch=str(LAUNCH), role=role)],
            capture_output=True,
            text=True,
            check=True,
        )
        modules, before, after = json.loads(done.stdout)
        return modules, before, after

    def test_roles_do_not_import_modules_of_other_programs(self) -> None:
        for role in ("edge", "core"):
            with self.subTest(role=role):
                modules, _, _ = self.probe(role)
                self.assertEqual(set(modules) & UNNEEDED_MODULES, set())

    def test_source_folders_come_last_on_the_import_path(self) -> None:
        _, before, after = self.probe("edge")
        self.assertEqual(after[: len(before)], before)
        self.assertIn(str(ROOT / "packages" / "pooler" / "src"), after[len(before) :])

    def test_change_of_the_settings_file_does_not_end_a_process_that_is_loading(
        self,
    ) -> None:
        """Guard against the default action of SIGHUP, which ends the process."""
        program = SIGNALLED_WHILE_LOADING.format(launch=str(LAUNCH))
        done = subprocess.run([sys.executable, "-c", program], check=False)
        self.assertEqual(done.returncode, 0)
