"""Tests of signals in a process that runs several threads."""

import subprocess
import sys
import unittest
from typing import Final

TIMEOUT_SECONDS: Final = 30.0
# Each program ends with status 0 once its stop event is set.
SENT_TO_ANOTHER_THREAD: Final = """
import signal, threading, time
from dogwoodspool_common import stop_event_on_signals

def send():
    time.sleep(0.5)  # The main thread waits by then.
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
    time.sleep(60)

stop = stop_event_on_signals()
threading.Thread(target=send, daemon=True).start()
stop.wait()
"""
SENT_WHILE_THE_EVENT_IS_LOCKED: Final = """
import os, signal
from dogwoodspool_common import stop_event_on_signals

stop = stop_event_on_signals()
with stop._cond:
    os.kill(os.getpid(), signal.SIGTERM)
    os.kill(os.getpid(), signal.SIGINT)
stop.wait()
"""
FAILING_ACTION: Final = """
import os, signal
from dogwoodspool_common import stop_event_on_signals

def fail():
    raise OSError("not now")

stop = stop_event_on_signals({signal.SIGHUP: fail})
os.kill(os.getpid(), signal.SIGHUP)
os.kill(os.getpid(), signal.SIGTERM)
stop.wait()
"""


class StopSignalTests(unittest.TestCase):
    """A stop signal is acted on whatever the process is doing."""

    def assert_stops(self, program: str) -> None:
        process = subprocess.Popen([sys.executable, "-c", program])
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        try:
            status = process.wait(TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.fail("the stop signal was not acted on")
        self.assertEqual(status, 0)

    def test_signal_that_another_thread_receives_while_the_main_thread_waits(
        self,
    ) -> None:
        """Guard against a process that serves on until it is killed."""
        self.assert_stops(SENT_TO_ANOTHER_THREAD)

    def test_signals_while_the_main_thread_holds_the_lock_of_the_event(self) -> None:
        """Guard against a handler that waits for its own thread's lock."""
        self.assert_stops(SENT_WHILE_THE_EVENT_IS_LOCKED)

    def test_action_that_fails_does_not_hide_a_later_stop(self) -> None:
        self.assert_stops(FAILING_ACTION)


class DispositionTests(unittest.TestCase):
    """Signals without an action keep their effect."""

    def test_other_signals_are_left_alone(self) -> None:
        program = (
            "import signal; from dogwoodspool_common import stop_event_on_signals; "
            "before = signal.getsignal(signal.SIGUSR1); stop_event_on_signals(); "
            "assert signal.getsignal(signal.SIGUSR1) is before"
        )
        done = subprocess.run([sys.executable, "-c", program], check=False)
        self.assertEqual(done.returncode, 0)
