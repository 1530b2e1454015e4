"""Effects of the fault switches on callers, replicas and entry instances."""

import threading
import time
from concurrent import futures
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pymysql
from dogwoodspool_common import JsonClient, PeerRefusedError, RequestSigner
from dogwoodspool_standin import FaultsRequest, StandinServer
from dogwoodspool_standin.const import PATH_DIAGNOSTICS, PATH_FAULTS

from .support import KEY, Connection, StandinTestCase, fails_with, run, status

LOST_CONNECTION = 2013
REMOTE_FAILURE_DOMAIN = "fd-elsewhere"
LONG_RESULT = 20_000


class FaultsTest(StandinTestCase):
    """Each switch has its effect, and resetting it ends the effect."""

    def setUp(self) -> None:
        super().setUp()
        self.server = self.start("a", role="primary")
        self.caller = self.connect(self.server)
        run(self.caller, "CREATE TABLE lines (body VARCHAR(20))")

    def change(self, **changes: Any) -> None:
        self.server.faults.apply(FaultsRequest.model_validate(changes))

    def test_silenced_connection_discards_input_while_new_ones_work(self) -> None:
        # A device between the two ends drops the state of a connection: what the
        # caller sends never arrives, and neither an answer nor an error comes back.
        caller = self.connect(self.server, read_timeout=1)
        running = self.connect(self.server, read_timeout=1)
        with ThreadPoolExecutor(1) as pool:
            answer = pool.submit(run, running, "SELECT SLEEP(0.5)")
            self.eventually(
                lambda: read_counter(self.server, "slots_in_use") == 1, "runs"
            )
            self.change(silence_connections=True)
            with fails_with(self, LOST_CONNECTION):
                answer.result()
        with fails_with(self, LOST_CONNECTION):
            run(caller, "INSERT INTO lines VALUES ('swallowed')")
        fresh = self.connect(self.server)
        self.assertEqual(run(fresh, "SELECT * FROM lines"), [])
        run(fresh, "INSERT INTO lines VALUES ('x')")

    def test_frozen_server_answers_nothing_until_unfrozen(self) -> None:
        pinger = self.connect(self.server)
        self.change(freeze=True)
        with ThreadPoolExecutor(3) as pool:
            pending: list[futures.Future[Any]] = [
                pool.submit(run, self.caller, "SELECT 1"),
                pool.submit(pinger.ping, reconnect=False),
                pool.submit(self.connect, self.server),
            ]
            done, _ = futures.wait(pending, timeout=0.2)
            self.assertEqual(done, set())
            self.change(freeze=False)
            for future in pending:
                future.result()

    def test_refusing_connections_also_drops_open_ones(self) -> None:
        self.change(refuse_connections=True)
        with self.assertRaises(pymysql.OperationalError):
            run(self.caller, "SELECT 1")
        with self.assertRaises(pymysql.OperationalError):
            self.connect(self.server)
        self.change(refuse_connections=False)
        run(self.connect(self.server), "SELECT 1")

    def test_cut_affects_only_the_named_failure_domain(self) -> None:
        near = self.connect(self.server, program_name="fd-near")
        far = self.connect(self.server, program_name=REMOTE_FAILURE_DOMAIN)
        self.change(cut_failure_domains=[REMOTE_FAILURE_DOMAIN])
        with self.assertRaises(pymysql.OperationalError):
            run(far, "SELECT 1")
        with self.assertRaises(pymysql.OperationalError):
            self.connect(self.server, program_name=REMOTE_FAILURE_DOMAIN)
        run(near, "SELECT 1")
        self.change(cut_failure_domains=[])
        run(self.connect(self.server, program_name=REMOTE_FAILURE_DOMAIN), "SELECT 1")

    def test_cut_of_the_primary_stops_replication(self) -> None:
        replica = self.start("b", follow=str(self.server.address))
        reader = self.connect(replica)
        self.eventually(lambda: status(reader)["offset"] == 1, "the first entry")
        replica.faults.apply(FaultsRequest(cut_failure_domains=("fd-a",)))
        run(self.caller, "INSERT INTO lines VALUES ('x')")
        time.sleep(0.2)
        self.assertEqual(status(reader)["offset"], 1)
        replica.faults.apply(FaultsRequest(cut_failure_domains=()))
        self.eventually(lambda: status(reader)["offset"] == 2, "the second entry")

    def test_switches_over_http(self) -> None:
        signer = RequestSigner(KEY.encode())
        client = JsonClient(signer)
        self.addCleanup(client.close)
        address = self.server.control_address
        answer = client.post(address, PATH_FAULTS, {"leaving": True, "lag_ms": 5})
        self.assertEqual((answer["leaving"], answer["lag_ms"]), (True, 5))
        self.assertEqual(status(self.caller)["leaving"], 1)
        diagnostics = client.get(address, PATH_DIAGNOSTICS)
        self.assertEqual(diagnostics["status"]["is_leaving"], True)
        self.assertEqual(
            (diagnostics["connections_now"], diagnostics["writes"]), (1, 1)
        )
        with self.assertRaises(PeerRefusedError):
            client.post(address, PATH_FAULTS, {"unknown": 1})
        stranger = JsonClient(RequestSigner(b"another key"))
        self.addCleanup(stranger.close)
        with self.assertRaises(PeerRefusedError):
            stranger.post(address, PATH_FAULTS, {"leaving": False})


class LimitsTest(StandinTestCase):
    """The limits of connections and slots from the settings are enforced."""

    def test_connection_above_the_limit_is_refused(self) -> None:
        server = self.start("a", role="primary", connections=2)
        self.start("b", follow=str(server.address))
        self.eventually(
            lambda: read_counter(server, "replicas_now") == 1, "the replica"
        )
        first = self.connect(server)
        self.connect(server)
        with fails_with(self, 1040):
            self.connect(server)
        first.close()
        self.eventually(
            lambda: read_counter(server, "connections_now") == 1, "a free connection"
        )
        self.connect(server)
        self.assertEqual(read_counter(server, "connections_peak"), 2)
        self.assertEqual(read_counter(server, "connections_refused"), 1)

    def test_statements_above_the_slot_limit_wait(self) -> None:
        # Two callers read long results slowly and so hold both slots. Three more
        # statements wait in the server, and the status is still answered.
        server = self.start("a", role="primary", slots=2)
        slow = [self.open_long_result(server) for _ in range(2)]
        callers = [self.connect(server) for _ in range(3)]
        threads = [self.run_in_thread(caller, "SELECT 1") for caller in callers]
        self.eventually(
            lambda: read_counter(server, "slots_waiting") == 3, "three wait"
        )
        self.assertEqual(status(self.connect(server))["slots"], 2)
        self.assertEqual(read_counter(server, "slots_in_use"), 2)
        for cursor in slow:
            self.assertEqual(len(cursor.fetchall()), LONG_RESULT)
        for thread in threads:
            thread.join()
        self.eventually(lambda: read_counter(server, "slots_in_use") == 0, "free slots")
        self.assertEqual(read_counter(server, "slots_peak"), 2)

    def test_slot_of_an_aborted_result_is_released(self) -> None:
        server = self.start("a", role="primary", slots=1)
        self.open_long_result(server)
        server.faults.apply(FaultsRequest(refuse_connections=True))
        self.eventually(
            lambda: read_counter(server, "slots_in_use") == 0, "a free slot"
        )

    def open_long_result(self, server: StandinServer) -> pymysql.cursors.Cursor:
        """Begin to read a result that is larger than the buffers of a connection."""
        caller = self.connect(server, cursorclass=pymysql.cursors.SSCursor)
        cursor = caller.cursor()
        cursor.execute(
            "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n "
            f"WHERE i < {LONG_RESULT}) SELECT i, printf('%02000d', i) FROM n"
        )
        return cursor

    def run_in_thread(self, caller: Connection, sql: str) -> threading.Thread:
        thread = threading.Thread(target=run, args=(caller, sql))
        thread.start()
        return thread


def read_counter(server: StandinServer, counter: str) -> int:
    """Read one counter."""
    return int(server.diagnostics.collect()[counter])
