"""The control group: its processes, its settings and who leads it."""

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

from .const import GROUP, PATIENCE_SECONDS, POLL_SECONDS
from .steps import Context, world_of

ROOT_PATH: Final = "/"
ACCEPTED: Final = "accepted"
UNANSWERED: Final = "unanswered"
NOT_LEADER: Final = "not_leader"
SHORT_SECONDS: Final = 1.0
VOTER_SECONDS: Final = 15.0


@dataclass(frozen=True, slots=True)
class Change:
    """One operator's change of the root's settings."""

    overrides: dict[str, Any] = field(repr=False)
    expected_version: int
    change_id: str = field(default_factory=lambda: uuid.uuid4().hex)
    author: str = "operator"

    def body(self) -> dict[str, Any]:
        """Return the message to control."""
        return {
            "change_id": self.change_id,
            "path": ROOT_PATH,
            "expected_version": self.expected_version,
            "overrides": self.overrides,
            "author": self.author,
        }


@dataclass(frozen=True, slots=True)
class ChangeReply:
    """What an operator was told of a change.

    Attributes:
        outcome: ``accepted``, ``unanswered`` or the code of the refusal.
        version: version of the node since then.
        view_version: version of the committed state since then.
    """

    outcome: str
    version: int = 0
    view_version: int = 0


class ControlGroup:
    """Act on a deployment's control processes one by one."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._frozen: set[str] = set()
        self._killed: list[ControlHandle] = []

    @property
    def running(self) -> list[ControlHandle]:
        """The control processes that run and are not frozen."""
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
        """Return the process that surely leads now, None without one."""
        for control in self.running:
            try:
                if self.status(control)["is_leader"]:
                    return control
            except HttpError:
                continue
        return None

    def wait_leader(self) -> ControlHandle:
        """Wait until one of the processes leads."""
        deadline = time.monotonic() + PATIENCE_SECONDS
        while True:
            leader = self.leader()
            if leader is not None:
                return leader
            assert time.monotonic() < deadline, "no control leader"
            time.sleep(POLL_SECONDS)

    def followers(self) -> list[ControlHandle]:
        """Return the running processes that do not lead."""
        leader = self.wait_leader()
        return [control for control in self.running if control != leader]

    def freeze(self, *controls: ControlHandle) -> None:
        """Let processes stand still."""
        for control in controls:
            self._deployment.processes.freeze(control.name)
            self._frozen.add(control.name)

    def thaw(self, *controls: ControlHandle) -> None:
        """Let processes go on."""
        for control in controls:
            if control.name in self._frozen:
                self._deployment.processes.thaw(control.name)
                self._frozen.discard(control.name)

    def give_up(self, control: ControlHandle) -> None:
        """End a process that is not to start again."""
        self.kill(control)
        self._killed.remove(control)

    def thaw_all(self) -> None:
        """Let every process go on."""
        self.thaw(*self._deployment.controls)

    def kill(self, *controls: ControlHandle) -> None:
        """End processes at once."""
        for control in controls:
            self._deployment.processes.kill(control.name)
            self._frozen.discard(control.name)
            self._killed.append(control)

    def restart_killed(self) -> None:
        """Start the processes that were killed."""
        controls, self._killed = self._killed, []
        for control in controls:
            self._deployment.processes.restart(control.name)
        for control in controls:
            self._deployment.processes.ready(control.name)

    def status(self, control: ControlHandle) -> dict[str, Any]:
        """Return what a process says of itself and of the system."""
        return self._get(control, PATH_STATUS)

    def watch(self, control: ControlHandle, *, confirmed: bool) -> WatchResponse:
        """Read the committed state as one process has it."""
        query = {"after": "0", "wait_ms": "0", "confirmed": str(int(confirmed))}
        return WatchResponse.model_validate(self._get(control, PATH_WATCH, query))

    def committed(self) -> ControlView | None:
        """Return the state that a quorum confirms, None while none does."""
        for control in self.running:
            try:
                return self.watch(control, confirmed=True).view
            except HttpError:
                continue
        return None

    def root(self) -> dict[str, Any]:
        """Return version and overrides of the root, confirmed by a quorum."""
        answer = self._get(self.wait_leader(), PATH_SETTINGS_TREE)
        found: dict[str, Any] = next(
            node for node in answer["nodes"] if node["path"] == ROOT_PATH
        )
        return found

    def accepted_changes(self, change_id: str) -> int:
        """Count how often a change stands in the history."""
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
        """Send a change until it gets a clear answer."""
        unclear = {UNANSWERED, NOT_LEADER, "outcome_unknown", "not_confirmed"}
        deadline = time.monotonic() + PATIENCE_SECONDS
        reply = self.change(change)
        while reply.outcome in unclear:
            assert time.monotonic() < deadline, reply
            time.sleep(POLL_SECONDS)
            reply = self.change(change)
        return reply

    def change_often(self, count: int, overrides: dict[str, Any]) -> ChangeReply:
        """Make many changes one after the other; the last sets the overrides."""
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
        """Have the leader take in a voter."""
        self._change_voters({"voter": name, "address": str(address)})

    def remove_voter(self, name: str) -> None:
        """Have the leader drop a voter."""
        self._change_voters({"voter": name, "address": None})

    def voters(self) -> set[str]:
        """Return the names of those that vote, as the leader has it."""
        members = self.status(self.wait_leader())["voters"]
        return {one["node_id"] for one in members if one["is_voter"]}

    def _change_voters(self, body: dict[str, Any]) -> None:
        deadline = time.monotonic() + PATIENCE_SECONDS
        while True:
            leader = self.wait_leader()
            try:
                self._deployment.client.post(
                    leader.address, PATH_VOTERS, body, VOTER_SECONDS
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
        return client.get(control.address, path, query, SHORT_SECONDS * 3)


def control_of(context: Context) -> ControlGroup:
    """Return the control group of the scenario's deployment."""
    world = world_of(context)
    if "control" not in world.notes:
        world.notes["control"] = ControlGroup(world.deployment)
    group: ControlGroup = world.notes["control"]
    return group


def users_with(name: str) -> dict[str, Any]:
    """Return the setting that also lets a user in, with the callers' password."""
    names = (CALLER_USER, name)
    return {"users": {one: hash_password(CALLER_PASSWORD) for one in names}}


def can_log_in(proxy: ProxyHandle, user: str) -> bool:
    """Tell whether a proxy lets a user in."""
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
