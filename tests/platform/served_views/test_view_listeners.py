"""What a view's listeners may do to the views after it, and to each other."""

import socket
import threading
import unittest
from collections.abc import Callable
from typing import Any, cast
from unittest import mock

from dogwoodspool_api import (
    AccountMessage,
    ControlView,
    EndpointMessage,
    GroupMessage,
    ServerMessage,
    WatchResponse,
)
from dogwoodspool_common import (
    Address,
    ClientAccount,
    GroupState,
    JsonClient,
    ManualClock,
    PeerUnreachableError,
    Phase,
    Role,
    SystemClock,
    key_digest,
)
from dogwoodspool_following import (
    ControlPeers,
    FixedAddresses,
    ViewStore,
    WatchCoordinator,
)
from dogwoodspool_following.const import RETRY_PAUSE_SECONDS
from dogwoodspool_platform.front import CallerListener
from dogwoodspool_pooler import StatementKind
from dogwoodspool_pooler.accepted_work import AcceptedWork
from dogwoodspool_pooler.runtime import PoolerRuntime

from tests.pooler.fakes import GROUP, FakeServer, Pooler, endpoint

CONTROL = Address("10.0.0.1", 7)
TIMEOUT_SECONDS = 5.0
POLL_SECONDS = 0.05
KEY = "key-1"
HOLDERS = (ClientAccount("shop", (key_digest(KEY),), 1, None),)


def view(version: int, **changes: Any) -> ControlView:
    """Return a whole view without servers and endpoints."""
    empty: dict[str, list[Any]] = {
        name: [] for name in ("groups", "servers", "proxies", "settings")
    }
    return ControlView(version=version, **{**empty, "endpoints": [], **changes})


class Views:
    """Control that answers each poll with the view after the one that a proxy has."""

    def __init__(self, views: list[ControlView]) -> None:
        self._views = views

    def get(
        self, _address: Address, _path: str, query: dict[str, str], _timeout: float
    ) -> dict[str, Any]:
        after = int(query["after"])
        newer = [one for one in self._views if one.version > after]
        response = WatchResponse(
            view=newer[0] if newer else None,
            leader=None,
            members=[],
            is_current=True,
            retry_after_ms=0 if newer else 20,
        )
        return response.model_dump(mode="json")

    def post(self, *_arguments: Any) -> dict[str, Any]:
        raise PeerUnreachableError("connection refused")


class PoolerSessions:
    """The part of a pooler's runtime that caller connections use."""

    def __init__(self, pooler: Pooler) -> None:
        self._pooler = pooler
        self.accepted_work = AcceptedWork(SystemClock())
        self.view_version = 0
        self.view_age_ms = None
        self.view_confirmed_by = None

    def open_session(self, database: str, digest: str) -> Any:
        return self._pooler.sessions.open(database, digest)


class Caller:
    """One caller's connection."""

    def __init__(self, port: int, database: str, key: str) -> None:
        self._socket = socket.create_connection(("127.0.0.1", port), TIMEOUT_SECONDS)
        self._stream = self._socket.makefile("rwb")
        self.ask(f"STARTUP {database} {key}")

    def ask(self, line: str) -> None:
        """Send a line and wait for the end of the answer."""
        self._stream.write(f"{line}\r\n".encode())
        self._stream.flush()
        while not self._stream.readline().startswith((b"READY", b"ERROR")):
            pass

    def close(self) -> None:
        self._stream.close()
        self._socket.close()


class RevokedCallersTests(unittest.TestCase):
    """Keys are revoked while a server does not answer."""

    def setUp(self) -> None:
        self.is_rolling_back, self.answers = threading.Event(), threading.Event()
        self.server = FakeServer("s1", Role.PRIMARY)
        self.server.on_answer = self._wait_at_rollback
        self.pooler = Pooler([self.server])
        self.pooler.apply_view(primary="s1", accounts=HOLDERS)
        runtime = cast(PoolerRuntime, PoolerSessions(self.pooler))
        self.listener = CallerListener(Address("127.0.0.1", 0), runtime)
        self.listener.set_up()
        self.addCleanup(self.listener.unload)
        self.addCleanup(self.answers.set)
        self.port = self.listener._listener.getsockname()[1]
        self.pooler.views.add_listener(lambda _view: self.listener.close_revoked())

    def _wait_at_rollback(self, kind: StatementKind) -> None:
        if kind is StatementKind.ROLLBACK:
            self.is_rolling_back.set()
            self.answers.wait(10 * TIMEOUT_SECONDS)

    def _view(self, version: int, *endpoints: Any) -> ControlView:
        return view(
            version,
            groups=[GroupMessage.of(GroupState(GROUP, 1, "s1", Phase.STEADY, ()))],
            servers=[ServerMessage.of(self.server.as_backend_server())],
            endpoints=[EndpointMessage.of(one) for one in endpoints],
            accounts=[AccountMessage.of(ClientAccount("other", (), 1, None))],
            requires_account=True,
        )

    def test_a_rollback_without_an_answer_does_not_keep_the_proxy_on_an_old_view(
        self,
    ) -> None:
        """Guard against a proxy that refuses an added route while it rolls back."""
        caller = Caller(self.port, "db", KEY)
        self.addCleanup(caller.close)
        caller.ask("QUERY q1 BEGIN")
        caller.ask("QUERY q2 WRITE k v")
        self.assertEqual([one.text for one in self.server.runs], ["WRITE k v"])
        version = self.pooler.version
        views = Views(
            [
                self._view(version + 1, endpoint()),
                self._view(version + 2, endpoint()),
            ]
        )
        watch = WatchCoordinator(
            self.pooler.views,
            ControlPeers((CONTROL,)),
            cast(JsonClient, views),
            SystemClock(),
        )
        watch.set_up()
        self.addCleanup(watch.unload)
        self.addCleanup(self.answers.set)
        self.assertTrue(self.is_rolling_back.wait(TIMEOUT_SECONDS))
        pause = threading.Event()
        for _ in range(int(TIMEOUT_SECONDS / POLL_SECONDS)):
            if self.pooler.views.view.version == version + 2:
                return
            pause.wait(POLL_SECONDS)
        self.fail("the view after the one that revoked the key is not in force")


class FailingListenerTests(unittest.TestCase):
    """One listener of a view fails."""

    def test_the_other_listeners_get_the_view(self) -> None:
        """Guard against parts that miss a view for as long as no other one follows."""
        views = ViewStore("a", ManualClock())
        received: list[int] = []

        def fail(_view: object) -> None:
            raise OSError("no file descriptor left")

        views.add_listener(fail)
        views.add_listener(lambda one: received.append(one.version))
        watch = WatchCoordinator(
            views,
            ControlPeers((CONTROL,)),
            cast(JsonClient, Views([view(1)])),
            SystemClock(),
        )
        watch.set_up()
        self.addCleanup(watch.unload)
        self.assertTrue(views.wait_newer(0, TIMEOUT_SECONDS))
        threading.Event().wait(3 * RETRY_PAUSE_SECONDS)
        self.assertEqual(received, [1])


class EarlyViewTests(unittest.TestCase):
    """The first view arrives before all parts of a pooler have started."""

    def test_parts_that_start_later_get_the_first_view(self) -> None:
        """Guard against pools shared by the wrong limits until another view."""
        server = FakeServer("s1", Role.PRIMARY).as_backend_server()
        first = view(
            1,
            groups=[GroupMessage.of(GroupState(GROUP, 1, "s1", Phase.STEADY, ()))],
            servers=[ServerMessage.of(server)],
        )
        runtime = PoolerRuntime(
            "edge-1",
            "a",
            3,
            Address("127.0.0.1", 1),
            FixedAddresses((CONTROL,)),
            mock.Mock(),
            cast(JsonClient, Views([first])),
            SystemClock(),
        )
        start: Callable[[WatchCoordinator], None] = WatchCoordinator.set_up

        def start_and_wait(watch: WatchCoordinator) -> None:
            start(watch)
            self.assertTrue(runtime._views.wait_filled(TIMEOUT_SECONDS))
            threading.Event().wait(0.2)

        with mock.patch.object(WatchCoordinator, "set_up", start_and_wait):
            runtime.set_up()
        self.addCleanup(runtime.unload)
        self.assertIn(GROUP, runtime._shared.directory._limits)


class OtherProgramTests(unittest.TestCase):
    """Another program answers at the address of a lost control process."""

    def test_an_answer_that_is_no_object_does_not_hold_the_proxy(self) -> None:
        """Guard against a proxy that asks the same address for good."""
        other = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(other.close)
        threading.Thread(target=self._answer, args=(other,), daemon=True).start()
        lost = Address("127.0.0.1", other.getsockname()[1])
        client, current = JsonClient(None), Views([view(1)])

        def get(address: Address, *arguments: Any) -> dict[str, Any]:
            if address == lost:
                return client.get(address, *arguments)
            return current.get(address, *arguments)

        views = ViewStore("a", SystemClock())
        watch = WatchCoordinator(
            views,
            ControlPeers((lost, CONTROL)),
            cast(JsonClient, mock.Mock(get=get)),
            SystemClock(),
        )
        watch.set_up()
        self.addCleanup(watch.unload)
        self.assertTrue(views.wait_newer(0, TIMEOUT_SECONDS))

    def _answer(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with connection:
                connection.recv(65_536)
                head = b"HTTP/1.1 404 Not Found\r\nConnection: close\r\n"
                connection.sendall(head + b"Content-Length: 3\r\n\r\n404")
