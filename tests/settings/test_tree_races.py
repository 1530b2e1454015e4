"""Stateful test of the settings tree with two racing operators."""

import json
from dataclasses import dataclass, field
from typing import Any

from dogwoodspool_settings import RejectionCode, SettingsChange, SettingsTree
from dogwoodspool_settings.answers import ChangeAnswer
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

PATHS = ("/", "/chat", "/chat/g1", "/chat/g1/a", "/flow", "/flow/g1", "/flow/g2")
OPERATORS = ("ana", "ben")
DEFAULT_DEADLINE, DEFAULT_WAIT = 2_000, 20

overrides_or_deletion = st.none() | st.fixed_dictionaries(
    {},
    optional={
        "deadline_ms": st.sampled_from([10, 800]),
        "replica_wait_ms": st.sampled_from([5, 500]),
    },
)


def parent(path: str) -> str:
    return path.rpartition("/")[0] or "/"


@dataclass
class Oracle:
    """Reference model of the tree's rules, kept as simple as possible."""

    nodes: dict[str, tuple[int, dict[str, int]]] = field(
        default_factory=lambda: {"/": (0, {})}
    )
    last_versions: dict[str, int] = field(default_factory=dict)

    def value(self, path: str, key: str, default: int) -> int:
        while True:
            if path in self.nodes and key in self.nodes[path][1]:
                return self.nodes[path][1][key]
            if path == "/":
                return default
            path = parent(path)

    def decide(self, change: SettingsChange) -> RejectionCode | int:
        """Return the new version or the reason of a rejection."""
        path, overrides = change.path, change.overrides
        if change.expected_version != self.nodes.get(path, (0, {}))[0]:
            return RejectionCode.CONFLICT
        if overrides is None:
            if path == "/":
                return RejectionCode.INVALID
            if path not in self.nodes:
                return RejectionCode.NOT_FOUND
            if any(parent(other) == path for other in self.nodes if other != "/"):
                return RejectionCode.HAS_CHILDREN
            del self.nodes[path]
        else:
            if parent(path) not in self.nodes:
                return RejectionCode.NO_PARENT
            before = dict(self.nodes)
            self.nodes[path] = (0, overrides)
            if not self._is_valid():
                self.nodes = before
                return RejectionCode.INVALID
        version = self.last_versions.get(path, 0) + 1
        self.last_versions[path] = version
        if overrides is not None:
            self.nodes[path] = (version, overrides)
        return version

    def _is_valid(self) -> bool:
        groups = [path for path in self.nodes if path.count("/") == 2]
        names = {path.rpartition("/")[2] for path in groups}
        return len(names) == len(groups) and all(
            self.value(path, "replica_wait_ms", DEFAULT_WAIT)
            < self.value(path, "deadline_ms", DEFAULT_DEADLINE)
            for path in self.nodes
        )


class RacingOperators(RuleBasedStateMachine):
    """Two operators change nodes that they looked at some time ago.

    A change is answered, or its answer is lost and its operator sends it again,
    perhaps long after the other one has changed or deleted the same node, and
    perhaps at a voter that took its state from a snapshot.
    """

    def __init__(self) -> None:
        super().__init__()
        self.tree = SettingsTree()
        self.oracle = Oracle()
        self.index = 0
        self.seen = {operator: dict.fromkeys(PATHS, 0) for operator in OPERATORS}
        self.sent: list[tuple[SettingsChange, ChangeAnswer]] = []

    def apply(self, change: SettingsChange) -> ChangeAnswer:
        self.index += 1
        return self.tree.apply(change, self.index)

    @rule(operator=st.sampled_from(OPERATORS))
    def look(self, operator: str) -> None:
        self.seen[operator] = dict.fromkeys(PATHS, 0)
        for node in self.tree.nodes():
            self.seen[operator][node.path] = node.version

    @rule(
        operator=st.sampled_from(OPERATORS),
        path=st.sampled_from(PATHS),
        overrides=overrides_or_deletion,
        looks_first=st.booleans(),
    )
    def send(
        self,
        operator: str,
        path: str,
        overrides: dict[str, Any] | None,
        looks_first: bool,
    ) -> None:
        if looks_first:
            self.look(operator)
        change = SettingsChange(
            f"{operator}-{len(self.sent)}",
            path,
            self.seen[operator][path],
            overrides,
            operator,
        )
        expected = self.oracle.decide(change)
        answer = self.apply(change)
        got = answer.ok.version if answer.is_ok() else answer.error.code
        assert got == expected, (change, got, expected)
        self.sent.append((change, answer))

    @rule(path=st.sampled_from(PATHS), winner=st.sampled_from(OPERATORS))
    def race(self, path: str, winner: str) -> None:
        """Both send a valid change with the version that both have seen."""
        if path not in self.oracle.nodes:
            return
        version = self.oracle.nodes[path][0]
        loser = OPERATORS[1 - OPERATORS.index(winner)]
        for operator in (winner, loser):
            self.seen[operator][path] = version
            self.send(operator, path, dict(self.oracle.nodes[path][1]), False)
        assert self.sent[-2][1].is_ok()
        assert self.sent[-1][1].error.code is RejectionCode.CONFLICT

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def resend_after_lost_answer(self, data: st.DataObject) -> None:
        change, first_answer = data.draw(st.sampled_from(self.sent))
        assert self.apply(change) == first_answer

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def reuse_change_id(self, data: st.DataObject) -> None:
        change, _ = data.draw(st.sampled_from(self.sent))
        other = SettingsChange(
            change.change_id, change.path, change.expected_version + 1, {}, "eve"
        )
        assert self.apply(other).error.code is RejectionCode.CHANGE_ID_REUSED

    @rule()
    def restore_from_snapshot(self) -> None:
        stored = json.loads(json.dumps(self.tree.snapshot()))
        self.tree = SettingsTree.from_snapshot(stored)

    @invariant()
    def nodes_are_the_oracles(self) -> None:
        held = {node.path: (node.version, node.overrides) for node in self.tree.nodes()}
        assert held == self.oracle.nodes

    @invariant()
    def effective_values_are_the_oracles(self) -> None:
        for group in ("g1", "g2"):
            for failure_domain in (None, "a", "b"):
                path = next(
                    (p for p in self.oracle.nodes if p.endswith(f"/{group}")), "/"
                )
                if failure_domain and path != "/":
                    path = f"{path}/{failure_domain}"
                values = self.tree.effective(group, failure_domain)
                assert values.deadline_ms == self.oracle.value(
                    path, "deadline_ms", DEFAULT_DEADLINE
                )


RacingOperators.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)


RacingOperatorsTests = RacingOperators.TestCase
