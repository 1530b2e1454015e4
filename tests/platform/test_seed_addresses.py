"""Tests of the seeds that the settings file names while a process runs."""

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from dogwoodspool_common import Address
from dogwoodspool_platform.boot import SeedAddresses, read_boot_settings
from dogwoodspool_platform.const import SETTINGS_VARIABLE

from tests.common.captured_logs import captured_logs

SETTINGS = """
node = "edge-1"
ip = "10.1.0.8"
zone = "zone-a"
internalPorts = [7440, 7455]
seeds = ["{seed}:8782"]
[listen]
"""


class SeedAddressesTests(unittest.TestCase):
    """The platform writes the settings file anew when the seeds change."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "boot.toml"
        variables = {SETTINGS_VARIABLE: str(self.path)}
        self.enterContext(mock.patch.dict(os.environ, variables))
        self.write("10.1.0.11")
        self.seeds = SeedAddresses(read_boot_settings())

    def write(self, seed: str) -> None:
        """Write the settings with a seed."""
        self.path.write_text(SETTINGS.format(seed=seed))

    def test_seeds_are_those_of_the_file_now(self) -> None:
        """Guard against a process that knows only the seeds of its start."""
        self.assertEqual((Address("10.1.0.11", 7440),), self.seeds.read())
        self.write("10.2.0.12")
        self.assertEqual((Address("10.2.0.12", 7440),), self.seeds.read())

    def test_file_that_cannot_be_read(self) -> None:
        """Guard against a process without seeds while its file is being written."""
        no_host = SETTINGS.format(seed="")
        for content in ("seeds = [", 'seeds = ["no address"]', no_host, None):
            with self.subTest(content=content), captured_logs() as lines:
                if content is None:
                    self.path.unlink()
                else:
                    self.path.write_text(content)
                self.assertEqual((Address("10.1.0.11", 7440),), self.seeds.read())
                self.assertIn("event=settings_file_unreadable", "".join(lines))


if __name__ == "__main__":
    unittest.main()
