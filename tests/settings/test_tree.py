"""Example-based tests of the settings tree's rules."""

import json
import unittest
from typing import Any

from dogwoodspool_settings import (
    FROM_DEFAULT,
    ChangeRejected,
    ReadOnlyTreeError,
    RejectionCode,
    SettingsChange,
    SettingsTree,
    SnapshotError,
    Statements,
    WriteAck,
    keep_secrets_of_version,
    redact,
)
from dogwoodspool_settings.answers import ChangeAnswer

TOKEN_KEY = "5e" * 32
PASSWORD = "open sesame"
HASH = "A4B6157319038724E3560894F7F932C8886EBFCF"


class TreeTestCase(unittest.TestCase):
    """Send changes that expect the current version of their node."""

    def setUp(self) -> None:
        self.tree = SettingsTree()
        self.change_count = 0

    def send(self, path: str, overrides: dict[str, Any] | None) -> ChangeAnswer:
        versions = {node.path: node.version for node in self.tree.nodes()}
        self.change_count += 1
        change = SettingsChange(
            f"c{self.change_count}", path, versions.get(path, 0), overrides, "ana"
        )
        return self.tree.apply(change, self.change_count)

    def accept(self, path: str, overrides: dict[str, Any] | None = None) -> int:
        answer = self.send(path, {} if overrides is None else overrides)
        self.assertTrue(answer.is_ok(), answer)
        return answer.ok.version

    def reject(self, path: str, overrides: dict[str, Any] | None) -> ChangeRejected:
        answer = self.send(path, overrides)
        self.assertTrue(answer.is_error(), answer)
        return answer.error

    def accept_group(self) -> None:
        for path in ("/chat", "/chat/g1", "/chat/g1/a"):
            self.accept(path)


class InheritanceTests(TreeTestCase):
    """Each value comes from the nearest node that overrides it."""

    def test_nearest_node_gives_the_value(self) -> None:
        self.accept_group()
        self.accept("/", {"deadline_ms": 900, "queue_limit": 5})
        self.accept("/chat", {"statements": {"fence": "SET GLOBAL read_only = 1"}})
        self.accept("/chat/g1", {"write_ack": "primary", "max_age_ms": 700})
        self.accept("/chat/g1/a", {"deadline_ms": 300, "max_age_ms": None})
        inside = self.tree.effective("g1", "a")
        self.assertEqual(
            (inside.deadline_ms, inside.queue_limit, inside.max_age_ms), (300, 5, None)
        )
        self.assertIs(inside.write_ack, WriteAck.PRIMARY)
        self.assertEqual(
            inside.statements, Statements(fence="SET GLOBAL read_only = 1")
        )
        self.assertEqual(self.tree.effective("g1", "no-node").max_age_ms, 700)
        self.assertEqual(self.tree.effective("unknown", "a").deadline_ms, 900)

    def test_explain_names_the_node_of_each_value(self) -> None:
        self.accept_group()
        self.accept("/chat", {"deadline_ms": 900, "statements": {"wait": "DO 0"}})
        found = {value.key: value for value in self.tree.explain("/chat/g1/a")}
        self.assertEqual(found["deadline_ms"].from_path, "/chat")
        self.assertEqual(found["statements.wait"].from_path, "/chat")
        self.assertEqual(found["statements.fence"].from_path, FROM_DEFAULT)

    def test_read_only_mirror_has_the_same_values_and_rejects_changes(self) -> None:
        self.accept_group()
        self.accept("/chat/g1", {"deadline_ms": 321})
        mirror = SettingsTree.from_nodes(self.tree.nodes())
        self.assertEqual(mirror.effective("g1", "a"), self.tree.effective("g1", "a"))
        with self.assertRaises(ReadOnlyTreeError):
            mirror.apply(SettingsChange("c", "/", 0, {}, "ana"), 1)


class ValidationTests(TreeTestCase):
    """A rejection names path and reason for each invalid value."""

    def test_each_invalid_value_has_its_reason(self) -> None:
        rejected = self.reject(
            "/",
            {
                "deadline_ms": "800",
                "lease_ms": None,
                "clock_drift": float("nan"),
                "queue_limitt": 3,
                "token_key": "abc",
            },
        )
        self.assertEqual(rejected.code, RejectionCode.INVALID)
        self.assertEqual(
            set(rejected.message.split("; ")),
            {
                "/: deadline_ms: Input should be a valid integer",
                "/: lease_ms: Input should be a valid integer",
                "/: clock_drift: Input should be a finite number",
                "/: queue_limitt: there is no such setting",
                "/: token_key: must be hexadecimal of at least 32 bytes",
            },
        )

    def test_values_are_checked_together_at_every_node_below(self) -> None:
        """A change that makes a node below it invalid is rejected with that path.

        Otherwise a change at the root could make a group wait for a replica past its
        callers' deadline, although the group's own node did not change.
        """
        self.accept_group()
        self.accept("/chat/g1/a", {"replica_wait_ms": 400})
        rejected = self.reject("/", {"deadline_ms": 400, "renew_interval_ms": 750})
        self.assertIn(
            "/chat/g1/a: replica_wait_ms must be below deadline_ms", rejected.message
        )
        self.assertIn("/: renew_interval_ms * 2 must be below", rejected.message)
        self.assertEqual(self.tree.effective("g1", "a").deadline_ms, 2_000)

    def test_keys_that_must_be_shared_are_rejected_below(self) -> None:
        self.accept_group()
        self.assertIn("lease_ms", self.reject("/chat", {"lease_ms": 900}).message)
        self.assertIn(
            "write_ack", self.reject("/chat/g1/a", {"write_ack": "primary"}).message
        )

    def test_invalid_structure_is_rejected(self) -> None:
        self.accept_group()
        self.accept("/flow")
        for path, overrides, code in (
            ("/nobody/g9", {}, RejectionCode.NO_PARENT),
            ("/chat", None, RejectionCode.HAS_CHILDREN),
            ("/", None, RejectionCode.INVALID),
            ("/none", None, RejectionCode.NOT_FOUND),
            ("/flow/g1", {}, RejectionCode.INVALID),
            ("/a/b/c/d", {}, RejectionCode.INVALID),
            ("/chat/..", {}, RejectionCode.INVALID),
        ):
            with self.subTest(path=path):
                self.assertEqual(self.reject(path, overrides).code, code)


class VersionTests(TreeTestCase):
    """Versions only increase, and a limited number of answers is retained."""

    def test_recreated_node_continues_its_version_count(self) -> None:
        self.assertEqual(self.accept("/chat"), 1)
        self.assertTrue(self.send("/chat", None).is_ok())
        self.tree = SettingsTree.from_snapshot(self.tree.snapshot())
        self.assertEqual(self.accept("/chat"), 3)

    def test_delayed_copy_of_an_invalid_change_stays_rejected(self) -> None:
        """A change that was answered "invalid" must not take effect later.

        A request is sent twice after a timeout: the second copy is rejected, and the
        first one arrives after a change to the parent that would make it valid.
        """
        self.accept("/", {"deadline_ms": 400})
        change = SettingsChange("x", "/chat", 0, {"replica_wait_ms": 500}, "ben")
        first = self.tree.apply(change, 50)
        self.accept("/", {})
        self.assertEqual(self.tree.apply(change, 52), first)
        self.assertEqual([node.path for node in self.tree.nodes()], ["/"])

    def test_oldest_answers_are_evicted_first(self) -> None:
        tree = SettingsTree(retained_change_ids=2, retained_history=2)
        changes = [SettingsChange(f"c{n}", "/", n, {}, "ana") for n in range(3)]
        for index, change in enumerate(changes):
            self.assertTrue(tree.apply(change, index).is_ok())
        self.assertEqual(tree.apply(changes[1], 3).ok.version, 2)
        self.assertEqual(tree.apply(changes[0], 4).error.code, RejectionCode.CONFLICT)
        self.assertEqual([entry.version for entry in tree.history(9)], [3, 2])

    def test_invalid_snapshot_leaves_the_tree_unchanged(self) -> None:
        self.accept("/chat")
        damaged = self.tree.snapshot()
        damaged["nodes"][0]["version"] = "many"
        with self.assertRaisesRegex(SnapshotError, "nodes.0.version"):
            self.tree.restore(damaged)
        self.assertEqual(len(self.tree.nodes()), 2)


class SecretTests(TreeTestCase):
    """Secrets are never shown, and a change can keep them without sending them."""

    def setUp(self) -> None:
        super().setUp()
        self.secrets = {
            "token_key": TOKEN_KEY,
            "backend_password": PASSWORD,
            "users": {"shop": HASH},
        }
        self.accept("/", dict(self.secrets))

    def test_no_secret_is_shown(self) -> None:
        bad = {"token_key": TOKEN_KEY + "zz", "users": {"shop": HASH + "zz"}}
        shown = [
            self.reject("/", {**bad, "backend_password": [PASSWORD]}).message,
            str(self.tree.history(10)),
            str(self.tree.explain("/")),
            json.dumps(redact(self.secrets)),
            json.dumps(redact(self.secrets, b"shared key")),
            repr(SettingsChange("c", "/", 0, self.secrets, "ana")),
            repr(self.tree.effective(None, None)),
        ]
        for text in shown:
            for secret in (TOKEN_KEY, PASSWORD, HASH):
                self.assertNotIn(secret, text)

    def test_masked_secrets_are_kept(self) -> None:
        masked = redact(self.secrets, b"shared key")
        self.accept("/", {**masked, "deadline_ms": 700})
        self.assertEqual(self.tree.effective(None, None).token_key, TOKEN_KEY)
        self.assertEqual(self.tree.effective(None, None).users, {"shop": HASH})

    def test_rollback_restores_the_secrets_of_that_version(self) -> None:
        self.accept("/", {"backend_password": "new"})
        (first,) = (entry for entry in self.tree.history(9) if entry.version == 1)
        self.accept("/", keep_secrets_of_version(first.overrides or {}, 1))
        self.assertEqual(self.tree.effective(None, None).backend_password, PASSWORD)

    def test_masked_secret_without_earlier_value_is_rejected(self) -> None:
        rejected = self.reject("/chat", {"users": {"new": "***"}})
        self.assertIn("users.new: there is no earlier value", rejected.message)

    def test_fingerprints_of_different_secrets_differ(self) -> None:
        other = {**self.secrets, "backend_password": "other"}
        one, two = (redact(values, b"key") for values in (self.secrets, other))
        self.assertNotEqual(one["backend_password"], two["backend_password"])
        self.assertEqual(one["token_key"], two["token_key"])
