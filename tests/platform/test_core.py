"""Tests of the life cycle of a core process."""

import tempfile
import threading
import unittest
import urllib.request
from unittest import mock

from dogwoodspool_common import JsonRequest, JsonResponse, Route
from dogwoodspool_platform.boot import BootSettings
from dogwoodspool_platform.control_api import PlatformControlApi
from dogwoodspool_platform.core import Core
from dogwoodspool_testbed import PortReservations

HOST = "127.0.0.31"
TIMEOUT_SECONDS = 30.0


class StopTests(unittest.TestCase):
    """A core process that stops answers the calls in progress."""

    def setUp(self) -> None:
        self.entered, self.release = threading.Event(), threading.Event()
        self.addCleanup(self.release.set)
        self.order: list[str] = []
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        reservations = PortReservations()
        self.addCleanup(reservations.release)
        internal, last, self.control = reservations.reserve(3)
        settings = {
            "node": "core-1",
            "ip": HOST,
            "zone": "a",
            "internalPorts": [internal, last],
            "seeds": [f"{HOST}:{self.control}"],
            "bootstrap": True,
            "dataDir": folder.name,
            "cloud": {"addr": f"{HOST}:{last}"},
            "listen": {"control": f"{HOST}:{self.control}"},
        }
        routes = [Route("GET", "/slow", self.answer)]
        with mock.patch.object(PlatformControlApi, "routes", return_value=routes):
            self.core = Core(BootSettings.model_validate(settings))
        self.core.set_up()
        self.addCleanup(self.core.unload)

    def answer(self, _request: JsonRequest) -> JsonResponse:
        self.entered.set()
        self.release.wait(TIMEOUT_SECONDS)
        self.order.append("answered")
        return JsonResponse()

    def call(self) -> None:
        url = f"http://{HOST}:{self.control}/slow"
        with urllib.request.urlopen(url, timeout=TIMEOUT_SECONDS) as response:
            response.read()

    def run_until_stopped(self) -> None:
        stop = threading.Event()
        stop.set()
        self.core.run(stop)
        self.order.append("stopped")

    def test_call_in_progress_is_answered_before_the_process_ends(self) -> None:
        """Guard against calls whose connections end without an answer."""
        caller = threading.Thread(target=self.call, daemon=True)
        caller.start()
        self.assertTrue(self.entered.wait(TIMEOUT_SECONDS))
        with mock.patch("dogwoodspool_platform.core.FINISH_SECONDS", TIMEOUT_SECONDS):
            stopping = threading.Thread(target=self.run_until_stopped, daemon=True)
            stopping.start()
            stopping.join(1.0)  # It would have ended by then.
            self.release.set()
            stopping.join(TIMEOUT_SECONDS)
        caller.join(TIMEOUT_SECONDS)
        self.assertEqual(self.order, ["answered", "stopped"])
