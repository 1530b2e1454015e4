"""A fake control process with one settings tree, whose answers can be lost."""

from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from dogwoodspool_api import SettingsChangeRequest, const
from dogwoodspool_common import (
    Address,
    JsonRequest,
    JsonResponse,
    JsonServer,
    RequestSigner,
    Route,
    error_response,
)
from dogwoodspool_settings import (
    RejectionCode,
    SettingsChange,
    SettingsNode,
    SettingsTree,
    redact,
)

SHARED_KEY = "the shared key"
ANY_PORT = Address("127.0.0.1", 0)


def start_server(
    routes: dict[tuple[str, str], Callable[[JsonRequest], JsonResponse]],
) -> Any:
    """Start a server with these routes on a free port."""
    listed = [Route(method, path, run) for (method, path), run in routes.items()]
    server = JsonServer(ANY_PORT, RequestSigner(SHARED_KEY.encode()), listed, threads=2)
    server.set_up()
    return server


class FakeControl:
    """A fake leader; committed changes are in ``tree``.

    Attributes:
        lost_answers: number of further changes whose answers are lost after the
            change was committed.
        stale_nodes: an older state that the tree endpoint returns if set.
        before_change: called once before the next change is evaluated.
        posted: bodies of the other messages, by path.
    """

    def __init__(self) -> None:
        self.tree = SettingsTree()
        self.index = 0
        self.lost_answers = 0
        self.loses_first_answer_of_each_change = False
        self.answered: set[str] = set()
        self.stale_nodes: list[SettingsNode] | None = None
        self.before_change: Callable[[], Any] | None = None
        self.proxies: list[dict[str, Any]] = []
        self.posted: dict[str, list[Any]] = {}
        routes = {
            ("GET", const.PATH_SETTINGS_TREE): self._tree,
            ("GET", const.PATH_SETTINGS_EFFECTIVE): self._effective,
            ("GET", const.PATH_SETTINGS_HISTORY): self._history,
            ("GET", const.PATH_STATUS): self._status,
            ("GET", const.PATH_VOTERS): self._voters,
            ("POST", const.PATH_SETTINGS_CHANGE): self._change,
            ("POST", const.PATH_PROMOTE): self._record,
            ("POST", const.PATH_VOTERS): self._record,
            ("POST", const.PATH_DRAIN): self._record,
            ("POST", const.PATH_FORGET_PROXY): self._record,
        }
        self.server = start_server(routes)

    def apply(self, path: str, version: int, overrides: dict[str, Any] | None) -> None:
        """Commit a change of another operator."""
        self.index += 1
        change = SettingsChange(
            f"other-{self.index}", path, version, overrides, "other"
        )
        assert self.tree.apply(change, self.index).is_ok()

    def _change(self, request: JsonRequest) -> JsonResponse:
        message = SettingsChangeRequest.model_validate(request.body)
        if self.before_change is not None:
            hook, self.before_change = self.before_change, None
            hook()
        self.index += 1
        answer = self.tree.apply(SettingsChange(**message.model_dump()), self.index)
        is_first = message.change_id not in self.answered
        self.answered.add(message.change_id)
        if self.lost_answers or (self.loses_first_answer_of_each_change and is_first):
            self.lost_answers = max(0, self.lost_answers - 1)
            # The connection broke off in the middle of the answer.
            return JsonResponse(text='{"path": "/ch')
        if answer.is_ok():
            accepted = asdict(answer.ok)
            accepted["view_version"] = accepted.pop("index")
            return JsonResponse(accepted)
        rejected = answer.error
        is_conflict = rejected.code is RejectionCode.CONFLICT
        status = 409 if is_conflict else 400
        return error_response(status, rejected.code, rejected.message)

    def _tree(self, _request: JsonRequest) -> JsonResponse:
        nodes = self.tree.nodes() if self.stale_nodes is None else self.stale_nodes
        shown = [
            {
                **node.model_dump(),
                "overrides": redact(node.overrides, SHARED_KEY.encode()),
            }
            for node in nodes
        ]
        return JsonResponse({"nodes": shown, "view_version": self.index})

    def _effective(self, request: JsonRequest) -> JsonResponse:
        values = self.tree.explain(request.query[const.QUERY_PATH])
        return JsonResponse({"values": [asdict(value) for value in values]})

    def _history(self, request: JsonRequest) -> JsonResponse:
        entries = self.tree.history(100, request.query.get(const.QUERY_PATH))
        return JsonResponse({"entries": [asdict(entry) for entry in entries]})

    def _status(self, _request: JsonRequest) -> JsonResponse:
        return JsonResponse(
            {
                "leader": str(self.server.address),
                "is_leader": True,
                "voters": [{"id": "v1", "address": "127.0.0.1:7001"}],
                "groups": [],
                "servers": [],
                "proxies": self.proxies,
                "promotions": [
                    {
                        "group": "g1",
                        "term": 3,
                        "reason": "planned",
                        "step": "begun",
                        "waiting_for": ["entry-2"],
                    }
                ],
                "view_version": self.index,
            }
        )

    def _voters(self, _request: JsonRequest) -> JsonResponse:
        return JsonResponse({"voters": [{"id": "v1", "address": "127.0.0.1:7001"}]})

    def _record(self, request: JsonRequest) -> JsonResponse:
        self.posted.setdefault(request.path, []).append(request.body)
        return JsonResponse({})


class FakeFollower:
    """A fake control process that is not the leader and may know its address."""

    def __init__(self, leader: str) -> None:
        def refuse(_request: JsonRequest) -> JsonResponse:
            return error_response(421, "not_leader", leader)

        def show(_request: JsonRequest) -> JsonResponse:
            return JsonResponse(
                {
                    "leader": leader or None,
                    "is_leader": False,
                    "voters": [],
                    "groups": [],
                    "servers": [],
                    "proxies": [],
                    "view_version": 7,
                }
            )

        self.server = start_server(
            {
                ("GET", const.PATH_SETTINGS_TREE): refuse,
                ("GET", const.PATH_STATUS): show,
            }
        )
