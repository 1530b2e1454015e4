"""The control group: its processes, its leader and its settings."""

import time
import uuid
from dataclasses import dataclass, field
from typing import Any, Final

import pymysql
from dogwoodspool_api import ControlView, WatchResponse
from dogwoodspool_api.const import (
    PATH_SETTINGS_CHANGE,
    PATH_SETTINGS_HISTORY,
    PATH_SETTINGS_TREE,
    PATH_STATUS,
    PATH_VOTERS,
    PATH_WATCH,
)
from dogwoodspool_common import Address, HttpError, PeerRefusedError
from dogwoodspool_gateway import hash_password
from dogwoodspool_testbed import ControlHandle, Deployment, ProxyHandle
from dogwoodspool_testbed.const import CALLER_PASSWORD, CALLER_USER

from .const import GROUP, POLL_SECONDS, TIMEOUT_SECONDS
from .steps import Context, world_of

ROOT_PATH: Final = "/"
ACCEPTED: Final = "accepted"
UNANSWERED: Final = "unanswered"
NOT_LEADER: Final = "not_leader"
REQUEST_SECONDS: Final = 1.0
VOTER_CHANGE_SECONDS: Final = 15.0


@dataclass(frozen=True, slots=True)
class Change:
    """An operator's change of the root node's settings."""

    overrides: dict[str, Any] = field(repr=False)
    expected_version: int
    change_id: str = field(default_factory=lambda: uuid.uuid4().hex)
    author: str = "operator"

    def body(self) -> dict[str, Any]:
        """Return the body of the request to control."""
        return {
            "change_id": self.change_id,
            "path": ROOT_PATH,
            "expected_version": self.expected_version,
            "overrides": self.overrides,
            "author": self.author,
        }


@dataclass(frozen=True, slots=True)
class ChangeReply:
    """Reply to an operator's change.

    Attributes:
        outcome: ``accepted``, ``unanswered`` or the code of the refusal.
        version: version of the node after the change.
        view_version: version of the committed state after the change.
    """

    outcome: str
    version: int = 0
    view_version: int = 0


class ControlGroup:
    """Operate a deployment's control processes individually."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._frozen: set[str] = set()
        self._killed: list[ControlHandle] = []

    @property
    def running(self) -> list[ControlHandle]:
        """Return the control processes that run and are not frozen."""
        processes = self._deployment.processes
        return [
            control
            for control in self._deployment.controls
            if control.name not in self._frozen and processes.is_running(control.name)
        ]

    def get(self, name: str) -> ControlHandle:
        """Return a control process by name."""
        return next(one for one in self._deployment.controls if one.name == name)

    def leader(self) -> ControlHandle | None:
        """Return the process that reports itself as the leader, None without one."""
        for control in self.running:
            try:
                if self.status(control)["is_leader"]:
                    return control
            except HttpError:
                continue
        return None

    def wait_leader(self) -> ControlHandle:
        """Wait until one of the processes leads, and return it."""
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while True:
            leader = self.leader()
            if leader is not None:
                return leader
            assert time.monotonic() < deadline, (
                f"no control leader within {TIMEOUT_SECONDS} s"
            )
            time.sleep(POLL_SECONDS)

    def followers(self) -> list[ControlHandle]:
        """Return the running processes that do not lead."""
        leader = self.wait_leader()
        return [control for control in self.running if control != leader]

    def freeze(self, *controls: ControlHandle) -> None:
        """Suspend processes."""
        for control in controls:
            self._deployment.processes.freeze(control.name)
            self._frozen.add(control.name)

    def thaw(self, *controls: ControlHandle) -> None:
        """Resume suspended processes."""
        for control in controls:
            if control.name in self._frozen:
                self._deployment.processes.thaw(control.name)
                self._frozen.discard(control.name)

    def kill_permanently(self, control: ControlHandle) -> None:
        """Kill a process that is not to be restarted."""
        self.kill(control)
        self._killed.remove(control)

    def thaw_all(self) -> None:
        """Resume every suspended process."""
        self.thaw(*self._deployment.controls)

    def kill(self, *controls: ControlHandle) -> None:
        """Kill processes."""
        for control in controls:
            self._deployment.processes.kill(control.name)
            self._frozen.discard(control.name)
            self._killed.append(control)

    def restart_killed(self) -> None:
        """Restart the killed processes and wait until they are ready."""
        controls, self._killed = self._killed, []
        for control in controls:
            self._deployment.processes.restart(control.name)
        for control in controls:
            self._deployment.processes.ready(control.name)

    def status(self, control: ControlHandle) -> dict[str, Any]:
        """Return the status that a process reports of itself and of the system."""
        return self._get(control, PATH_STATUS)

    def watch(self, control: ControlHandle, *, confirmed: bool) -> WatchResponse:
        """Read the committed state from one process."""
        query = {"after": "0", "wait_ms": "0", "confirmed": str(int(confirmed))}
        return WatchResponse.model_validate(self._get(control, PATH_WATCH, query))

    def committed(self) -> ControlView | None:
        """Return the state that a quorum confirms, None while there is no quorum."""
        for control in self.running:
            try:
                return self.watch(control, confirmed=True).view
            except HttpError:
                continue
        return None

    def root(self) -> dict[str, Any]:
        """Return version and overrides of the root node, confirmed by a quorum."""
        answer = self._get(self.wait_leader(), PATH_SETTINGS_TREE)
        found: dict[str, Any] = next(
            node for node in answer["nodes"] if node["path"] == ROOT_PATH
        )
        return found

    def count_in_history(self, change_id: str) -> int:
        """Return how often a change is in the history."""
        query = {"limit": "500"}
        answer = self._get(self.wait_leader(), PATH_SETTINGS_HISTORY, query)
        return [entry["change_id"] for entry in answer["entries"]].count(change_id)

    def change(self, change: Change, seconds: float = 5.0) -> ChangeReply:
        """Send a change to the leader once."""
        return self.change_at(self.wait_leader(), change, seconds)

    def change_at(
        self, control: ControlHandle, change: Change, seconds: float = 5.0
    ) -> ChangeReply:
        """Send a change to one process once."""
        client = self._deployment.client
        try:
            answer = client.post(
                control.address, PATH_SETTINGS_CHANGE, change.body(), seconds
            )
        except PeerRefusedError as error:
            return ChangeReply(error.code)
        except HttpError:
            return ChangeReply(UNANSWERED)
        return ChangeReply(ACCEPTED, answer["version"], answer["view_version"])

    def resend(self, change: Change) -> ChangeReply:
        """Send a change until its outcome is known."""
        inconclusive = {UNANSWERED, NOT_LEADER, "outcome_unknown", "not_confirmed"}
        deadline = time.monotonic() + TIMEOUT_SECONDS
        reply = self.change(change)
        while reply.outcome in inconclusive:
            assert time.monotonic() < deadline, reply
            time.sleep(POLL_SECONDS)
            reply = self.change(change)
        return reply

    def make_changes(self, count: int, overrides: dict[str, Any]) -> ChangeReply:
        """Make changes one after the other; the last one sets the overrides."""
        version = int(self.root()["version"])
        base = self._deployment.root_settings()
        for number in range(count - 1):
            settings = {**base, "queue_limit": 64 + number}
            reply = self.resend(Change(settings, version))
            assert reply.outcome == ACCEPTED, reply
            version = reply.version
        reply = self.resend(Change({**base, **overrides}, version))
        assert reply.outcome == ACCEPTED, reply
        return reply

    def add_voter(self, name: str, address: Address) -> None:
        """Add a voter through the leader."""
        self._change_voters({"voter": name, "address": str(address)})

    def remove_voter(self, name: str) -> None:
        """Remove a voter through the leader."""
        self._change_voters({"voter": name, "address": None})

    def voters(self) -> set[str]:
        """Return the names of the voters that the leader reports."""
        members = self.status(self.wait_leader())["voters"]
        return {one["node_id"] for one in members if one["is_voter"]}

    def _change_voters(self, body: dict[str, Any]) -> None:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while True:
            leader = self.wait_leader()
            try:
                self._deployment.client.post(
                    leader.address, PATH_VOTERS, body, VOTER_CHANGE_SECONDS
                )
            except HttpError as error:
                assert time.monotonic() < deadline, error
                time.sleep(POLL_SECONDS)
                continue
            return

    def _get(
        self, control: ControlHandle, path: str, query: dict[str, str] | None = None
    ) -> dict[str, Any]:
        client = self._deployment.client
        return client.get(control.address, path, query, REQUEST_SECONDS * 3)


def control_of(context: Context) -> ControlGroup:
    """Return the control group of the scenario's deployment."""
    world = world_of(context)
    if "control" not in world.state:
        world.state["control"] = ControlGroup(world.deployment)
    group: ControlGroup = world.state["control"]
    return group


def users_with(name: str) -> dict[str, Any]:
    """Return the setting that also admits a user, with the callers' password."""
    names = (CALLER_USER, name)
    return {"users": {one: hash_password(CALLER_PASSWORD) for one in names}}


def can_log_in(proxy: ProxyHandle, user: str) -> bool:
    """Return whether a proxy accepts the login of a user."""
    try:
        connection = pymysql.connect(
            host=proxy.address.host,
            port=proxy.address.port,
            user=user,
            password=CALLER_PASSWORD,
            database=GROUP,
            connect_timeout=5,
        )
    except pymysql.MySQLError:
        return False
    connection.close()
    return True
