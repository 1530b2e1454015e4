"""Tests of failover gaps, of the byte-counting relay and of process usage."""

import os
import socket
import threading
import unittest

from dogwoodspool_common import Address
from dogwoodspool_load.gaps import (
    ANY_PROXY,
    AcknowledgedWrite,
    FailoverGap,
    first_acknowledgements,
    longest_pauses,
    summarize_gaps,
)
from dogwoodspool_load.process_usage import cpu_seconds, resident_bytes
from dogwoodspool_load.relay import CountingRelay


class GapTests(unittest.TestCase):
    """Gaps from acknowledgements at two proxies."""

    acknowledged = (
        AcknowledgedWrite("p1", 0.9, 1.0),
        AcknowledgedWrite("p1", 1.9, 2.05),
        AcknowledgedWrite("p1", 3.0, 3.1),
        AcknowledgedWrite("p2", 1.0, 1.1),
        AcknowledgedWrite("p2", 4.0, 4.2),
    )

    def test_a_write_sent_before_the_kill_does_not_end_the_gap(self) -> None:
        gaps = first_acknowledgements(self.acknowledged, 2.0)
        self.assertAlmostEqual(gaps[ANY_PROXY], 1.1)
        self.assertAlmostEqual(gaps["p2"], 2.2)

    def test_pauses_that_ended_before_the_fault_do_not_count(self) -> None:
        pauses = longest_pauses(self.acknowledged, 2.5)
        self.assertAlmostEqual(pauses[ANY_PROXY], 1.1)
        self.assertAlmostEqual(pauses["p2"], 3.1)

    def test_summary_has_median_and_worst(self) -> None:
        gaps = [
            FailoverGap("kill-primary", gap, 2 * gap, {"ended": gap / 2}, "s")
            for gap in (100.0, 300.0, 200.0)
        ]
        summary = summarize_gaps(gaps)
        self.assertEqual(summary["gap_ms"], {"median": 200.0, "worst": 300.0})
        self.assertEqual(summary["phases_ms_median"], {"ended": 100.0})


class CountingRelayTests(unittest.TestCase):
    """Bytes are counted in both directions."""

    def test_bytes_are_forwarded_and_counted(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def answer() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(5)
                connection.sendall(b"abc")

        threading.Thread(target=answer, daemon=True).start()
        port = int(listener.getsockname()[1])
        relay = CountingRelay(lambda: Address("127.0.0.1", port))
        relay.set_up()
        self.addCleanup(relay.unload)
        with socket.create_connection(("127.0.0.1", relay.address.port)) as caller:
            caller.sendall(b"hello")
            self.assertEqual(caller.recv(3, socket.MSG_WAITALL), b"abc")
        self.assertEqual(relay.count, 8)


class ProcessUsageTests(unittest.TestCase):
    """Figures from /proc."""

    def test_computation_adds_processor_time(self) -> None:
        before = cpu_seconds(os.getpid())
        while cpu_seconds(os.getpid()) == before:
            sum(range(10_000))
        self.assertGreater(cpu_seconds(os.getpid()), before)

    def test_memory_is_in_bytes(self) -> None:
        self.assertGreater(resident_bytes(os.getpid()), 1_000_000)
