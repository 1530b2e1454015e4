"""Requests to the processes of a running deployment."""

import time
import uuid
from typing import Any

import urllib3
from dogwoodspool_api import ControlView, WatchResponse
from dogwoodspool_api.const import (
    PATH_METRICS,
    PATH_PROMOTE,
    PATH_SETTINGS_CHANGE,
    PATH_SETTINGS_TREE,
    PATH_STATUS,
    PATH_WATCH,
)
from dogwoodspool_common import (
    HttpError,
    JsonClient,
    PeerRefusedError,
    RequestSigner,
)
from dogwoodspool_common.const import CODE_NOT_LEADER

from .const import (
    AUTHOR,
    ELECTION_TIMEOUT_SECONDS,
    POLL_SECONDS,
    READY_TIMEOUT_SECONDS,
    SHARED_KEY,
)
from .errors import TestbedError
from .models import ControlHandle, DeploymentShape, ProxyHandle, StandinHandle


class DeploymentClient:
    """Query control, proxies and stand-ins and change their state.

    Attributes:
        client: HTTP client that signs with the deployment's shared key.
        shape: shape of the deployment.
        controls: the control processes.
        proxies: the proxies.
        standins: the stand-in backend servers.
    """

    def __init__(self, shape: DeploymentShape) -> None:
        self.shape = shape
        self.client = JsonClient(RequestSigner(SHARED_KEY.encode()))
        self.controls: list[ControlHandle] = []
        self.proxies: list[ProxyHandle] = []
        self.standins: list[StandinHandle] = []

    def leader(self) -> ControlHandle | None:
        """Return the current control leader, None if there is none."""
        for control in self.controls:
            try:
                answer = self.client.get(control.address, PATH_STATUS, timeout=1.0)
            except HttpError:
                continue
            for candidate in self.controls:
                if str(candidate.address) == answer.get("leader"):
                    return candidate
        return None

    def view(self) -> ControlView:
        """Return the committed state, confirmed by a quorum.

        The time-out of a control process for a confirmation is shorter than an
        election, so all control processes are queried repeatedly for
        ``ELECTION_TIMEOUT_SECONDS``.

        Raises:
            TestbedError: no control process confirmed it in this time.
        """
        deadline = time.monotonic() + ELECTION_TIMEOUT_SECONDS
        while True:
            for control in self.controls:
                view = self._confirmed_view(control)
                if view is not None:
                    return view
            if time.monotonic() >= deadline:
                raise TestbedError("no control process confirmed its state in time")
            time.sleep(POLL_SECONDS)

    def primary(self, group: str) -> StandinHandle:
        """Return a group's primary in the committed state of control.

        Raises:
            TestbedError: the group has none, or it is not one of the stand-ins.
        """
        for state in self.view().groups:
            if state.name == group:
                for standin in self.standins:
                    if standin.name == state.primary:
                        return standin
        raise TestbedError(f"{group} has no primary among the stand-ins")

    def term(self, group: str) -> int:
        """Return a group's term in the committed state of control."""
        return next(g.term for g in self.view().groups if g.name == group)

    def promote(self, group: str, candidate: str | None = None) -> None:
        """Request a switchover of a group's primary.

        Raises:
            HttpError: the control leader rejected it or did not answer.
            TestbedError: no control leader accepted it in time.
        """
        body = {
            "change_id": uuid.uuid4().hex,
            "group": group,
            "candidate": candidate,
        }
        self._post_to_leader(PATH_PROMOTE, body)

    def change_settings(
        self, path: str, overrides: dict[str, Any], change_id: str | None = None
    ) -> dict[str, Any]:
        """Replace the overrides of one node and return the answer of control."""
        body = {
            "change_id": change_id or uuid.uuid4().hex,
            "path": path,
            "expected_version": self.settings_version(path),
            "overrides": overrides,
            "author": AUTHOR,
        }
        return self._post_to_leader(PATH_SETTINGS_CHANGE, body)

    def settings_version(self, path: str) -> int:
        """Return the version of a node, 0 if it does not exist."""
        answer = self._get_from_any(PATH_SETTINGS_TREE)
        for node in answer["nodes"]:
            if node["path"] == path:
                return int(node["version"])
        return 0

    def proxy_status(self, proxy: ProxyHandle) -> dict[str, Any]:
        """Return the status that a proxy reports."""
        return self.client.get(proxy.http_address, PATH_STATUS)

    def metrics(self, proxy: ProxyHandle) -> str:
        """Return a proxy's metrics page."""
        url = f"http://{proxy.http_address}{PATH_METRICS}"
        return urllib3.request("GET", url, timeout=2.0).data.decode()

    def fault(self, standin: StandinHandle, **switches: Any) -> None:
        """Set fault switches of a stand-in."""
        self.client.post(standin.control_address, "/v1/faults", switches)

    def may_write(self, proxy: ProxyHandle) -> bool:
        """Return whether a proxy holds a grant for every group."""
        try:
            groups = self.proxy_status(proxy)["groups"]
        except HttpError:
            return False
        granted = {group["group"] for group in groups if group["may_write"]}
        return granted >= set(self.shape.groups)

    def _post_to_leader(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        last_error: Exception | None = None
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            leader = self.leader()
            if leader is not None:
                try:
                    return self.client.post(leader.address, path, body, timeout=5.0)
                except PeerRefusedError as error:
                    if error.code != CODE_NOT_LEADER:
                        raise
                    last_error = error
            time.sleep(POLL_SECONDS)
        raise TestbedError(f"no control leader served {path}: {last_error}")

    def _get_from_any(self, path: str) -> dict[str, Any]:
        last_error: Exception | None = None
        for control in self.controls:
            try:
                return self.client.get(control.address, path)
            except HttpError as error:
                last_error = error
        raise TestbedError(f"no control process served {path}: {last_error}")

    def _confirmed_view(self, control: ControlHandle) -> ControlView | None:
        try:
            answer = self.client.get(
                control.address,
                PATH_WATCH,
                {"after": "0", "wait_ms": "0", "confirmed": "1"},
            )
        except HttpError:
            # It is down, frozen or without a leader; another one may confirm.
            return None
        return WatchResponse.model_validate(answer).view
