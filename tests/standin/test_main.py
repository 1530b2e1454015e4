"""The stand-in program in a process of its own."""

import json
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import mysql.connector
from dogwoodspool_common import (
    Address,
    JsonClient,
    PeerUnreachableError,
    RequestSigner,
)
from dogwoodspool_standin import FaultsRequest
from dogwoodspool_standin.const import EXIT_KILLED, PATH_FAULTS
from dogwoodspool_standin.errors import StorageError

from .support import KEY, PASSWORD, USER, StandinTestCase, connect, run, status

PROGRAM = Path(sys.executable).with_name("dogwoodspool-standin")


class ProgramTest(StandinTestCase):
    """Flags, environment variables, signals and the kill switch."""

    def launch(self, *flags: str) -> tuple[subprocess.Popen[bytes], dict[str, Any]]:
        ready = self.folder / "ready.json"
        ready.unlink(missing_ok=True)
        command = [
            *[str(PROGRAM), "--name=a", "--group=orders", "--failure-domain=fd"],
            *[f"--data-folder={self.folder / 'a'}", f"--ready-file={ready}"],
            *["--log-level=ERROR", "--connect-delay-ms=0", *flags],
        ]
        secrets = {"DOGWOODSPOOL_SHARED_KEY": KEY, "DOGWOODSPOOL_PASSWORD": PASSWORD}
        process = subprocess.Popen(command, env=secrets)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.eventually(lambda: ready.exists() or process.poll() is not None, "ready")
        return process, json.loads(ready.read_text())

    def test_killed_primary_restarts_with_its_saved_state(self) -> None:
        # A process is killed between two statements. After its restart it must have
        # the committed rows, must not have those of the open transaction and must
        # be the primary of its old term, whatever role its flags give.
        process, ready = self.launch("--role=primary")
        caller = connect(Address.parse(ready["address"]))
        run(caller, "CREATE TABLE lines (body VARCHAR(20))")
        run(caller, "STANDIN PROMOTE TERM 4")
        run(caller, "INSERT INTO lines VALUES ('kept')")
        caller.begin()
        run(caller, "INSERT INTO lines VALUES ('open')")
        client = JsonClient(RequestSigner(KEY.encode()))
        self.addCleanup(client.close)
        with self.assertRaises(PeerUnreachableError):
            client.post(
                Address.parse(ready["control_address"]), PATH_FAULTS, {"kill": True}
            )
        self.assertEqual(process.wait(), EXIT_KILLED)
        caller.close()

        process, ready = self.launch("--role=replica")
        caller = connect(Address.parse(ready["address"]))
        self.addCleanup(caller.close)
        row = status(caller)
        self.assertEqual((row["role"], row["term"], row["offset"]), ("primary", 4, 2))
        self.assertEqual(run(caller, "SELECT * FROM lines"), [("kept",)])
        run(caller, "INSERT INTO lines VALUES ('again')")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(), 0)

    def test_invalid_settings_are_reported_by_flag(self) -> None:
        finished = subprocess.run(
            [str(PROGRAM), "--name=a", "--slots=0"],
            env={},
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(finished.returncode, 2)
        self.assertIn("--slots (DOGWOODSPOOL_SLOTS)", finished.stderr)
        self.assertIn("--group", finished.stderr)

    def test_data_folder_in_use_is_refused(self) -> None:
        _, ready = self.launch("--role=primary")
        with self.assertRaises(StorageError):
            self.start("a")
        finished = subprocess.run(
            [
                *[str(PROGRAM), "--name=b", "--group=orders", "--failure-domain=fd"],
                *[f"--data-folder={self.folder / 'b'}", f"--shared-key={KEY}"],
                f"--listen={ready['address']}",
            ],
            env={},
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(finished.returncode, 2)
        self.assertIn("cannot start", finished.stderr)


class ConnectorTest(StandinTestCase):
    """MySQL Connector/Python as a second client library besides PyMySQL."""

    def test_mysql_connector(self) -> None:
        server = self.start("a", role="primary")
        connection = mysql.connector.connect(
            host=server.address.host,
            port=server.address.port,
            user=USER,
            password=PASSWORD,
            database="orders",
            use_pure=True,
            ssl_disabled=True,
            conn_attrs={"failure_domain": "fd-near"},
        )
        self.addCleanup(connection.close)
        cursor = connection.cursor()
        cursor.execute("CREATE TABLE lines (id INT AUTO_INCREMENT PRIMARY KEY, b TEXT)")
        cursor.add_attribute("request_id", "r1")
        cursor.execute("INSERT INTO lines (b) VALUES (%s)", ("it's",))
        self.assertEqual((cursor.rowcount, cursor.lastrowid), (1, 1))
        self.assertTrue(connection.in_transaction)
        connection.cmd_reset_connection()
        self.assertFalse(connection.in_transaction)
        cursor.execute("SELECT COUNT(*), 1.5, NULL, DATABASE() FROM lines")
        self.assertEqual(cursor.fetchall(), [(0, 1.5, None, "orders")])
        with self.assertRaises(mysql.connector.Error) as caught:
            cursor.execute("SELECT * FROM missing")
        self.assertEqual(
            (caught.exception.errno, caught.exception.sqlstate), (1146, "42S02")
        )
        server.faults.apply(FaultsRequest(cut_failure_domains=("fd-near",)))
        with self.assertRaises(mysql.connector.Error):
            cursor.execute("SELECT 1")
