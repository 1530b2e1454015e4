"""Tests of the end of a caller's connection."""

from unittest.mock import patch

from .system import TIMEOUT_SECONDS, SystemFixture


class ClosingTests(SystemFixture):
    """A connection ends without a reset."""

    def test_unread_input_does_not_reset_a_connection(self) -> None:
        """Guard against a reset that overtakes the last answer."""
        patch("dogwoodspool_platform.sockets.CLOSE_SECONDS", TIMEOUT_SECONDS).start()
        self.addCleanup(patch.stopall)
        client = self.client()
        client.send("TERMINATE\r\n" + "x" * 300_000)
        self.assertEqual(client.read(), "")
