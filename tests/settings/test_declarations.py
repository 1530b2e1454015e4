"""Tests of declaration files and of the plans made from them."""

import tempfile
import unittest
from pathlib import Path
from typing import Any

from dogwoodspool_settings import (
    DeclarationError,
    PlannedAction,
    SettingsChange,
    SettingsNode,
    SettingsTree,
    plan,
    redact,
    with_secrets,
)
from dogwoodspool_settings.declarations import load_declarations
from dogwoodspool_settings.settings_page import render_settings_page

ROOT = Path(__file__).resolve().parents[2]
FINGERPRINT_KEY = b"shared key"
SECRETS = {"token_key": "5e" * 32, "backend_password": "open sesame"}
HASH = "A4B6157319038724E3560894F7F932C8886EBFCF"


class FolderTestCase(unittest.TestCase):
    """Write declaration files into a temporary folder."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, files: dict[str, str]) -> None:
        for name, text in files.items():
            file = self.folder / name
            file.parent.mkdir(parents=True, exist_ok=True)
            file.write_text(text)


class LoadTests(FolderTestCase):
    """An error names file, key and reason, but never a value, which may be secret."""

    def test_invalid_declarations(self) -> None:
        group = {"root.yaml": "", "s/service.yaml": "", "s/g/group.yaml": ""}
        cases: tuple[tuple[dict[str, str], str, str, str], ...] = (
            ({}, "root.yaml", "", "missing"),
            ({"root.yaml": "lease_ms: soon"}, "root.yaml", "lease_ms", "integer"),
            ({"root.yaml": "leese_ms: 5"}, "root.yaml", "leese_ms", "no such"),
            ({"root.yaml": "[1]"}, "root.yaml", "", "mapping"),
            ({"root.yaml": "1: 2"}, "root.yaml", "1", "not text"),
            ({"root.yaml": "a: 1\na: 2"}, "root.yaml", "", "line 2.*twice"),
            ({"root.yaml": "a: [sesame"}, "root.yaml", "", "line 1: expected"),
            ({"root.yaml": "users: {a: {env: }}"}, "root.yaml", "users.a", "string"),
            ({"root.yaml": "queue_limit: {env: Q}"}, "root.yaml", "queue_limit", "int"),
            ({"root.yaml": "", "s/g/group.yaml": ""}, "service.yaml", "", "missing"),
            ({**group, "s/x.yaml": ""}, "x.yaml", "", "only service.yaml"),
            ({**group, "s/g/a.yml": ""}, "a.yml", "", "only FAILURE_DOMAIN.yaml"),
            (
                {**group, "s/g/a.yaml": "write_ack: primary"},
                "a.yaml",
                "write_ack",
                "same for all",
            ),
        )
        for files, file, key, reason in cases:
            with self.subTest(files=files):
                self.setUp()
                self.write(files)
                with self.assertRaisesRegex(DeclarationError, reason) as caught:
                    load_declarations(self.folder)
                self.assertEqual(Path(caught.exception.file).name, file)
                self.assertEqual(caught.exception.key, key)
                self.assertNotIn("sesame", str(caught.exception))

    def test_secrets_keep_their_source(self) -> None:
        text = "users: {ana: {file: a}, ben: {env: B}}\ntoken_key: {env: T}"
        self.write({"root.yaml": text})
        (root,) = load_declarations(self.folder)
        self.assertEqual(root.overrides, {"users": {}})
        self.assertEqual(
            set(root.secret_sources), {"users.ana", "users.ben", "token_key"}
        )
        filled = with_secrets(root.overrides, {"users.ana": HASH, "token_key": "k"})
        self.assertEqual(filled, {"users": {"ana": HASH}, "token_key": "k"})


class PlanTests(unittest.TestCase):
    """A plan applies in its own order, and a second plan is then empty."""

    def apply_plan(
        self, tree: SettingsTree, declared: dict[str, dict[str, Any]]
    ) -> list[str]:
        steps = []
        for change in plan(declared, tree.nodes()):
            steps.append(f"{change.action} {change.path}")
            answer = tree.apply(
                SettingsChange(
                    f"{change.path}@{change.expected_version}",
                    change.path,
                    change.expected_version,
                    change.overrides,
                    "ana",
                ),
                1,
            )
            self.assertTrue(answer.is_ok(), answer)
        return steps

    def test_parents_first_and_deletions_last(self) -> None:
        tree = SettingsTree()
        first: dict[str, dict[str, Any]] = {
            "/z/g1/a": {"deadline_ms": 900},
            "/z/g1": {},
            "/z": {},
            "/": {},
        }
        self.assertEqual(
            self.apply_plan(tree, first),
            ["create /z", "create /z/g1", "create /z/g1/a"],
        )
        self.assertEqual(self.apply_plan(tree, first), [])
        second: dict[str, dict[str, Any]] = {
            "/a/g2": {},
            "/a": {},
            "/": {"queue_limit": 9},
        }
        self.assertEqual(
            self.apply_plan(tree, second),
            [
                "update /",
                "create /a",
                "create /a/g2",
                "delete /z/g1/a",
                "delete /z/g1",
                "delete /z",
            ],
        )
        self.assertEqual(self.apply_plan(tree, second), [])

    def test_redacted_secrets_are_compared_by_fingerprint(self) -> None:
        shown = redact(SECRETS, FINGERPRINT_KEY)
        node = SettingsNode(path="/", version=4, overrides=shown)
        self.assertEqual(plan({"/": SECRETS}, [node], FINGERPRINT_KEY), [])
        changed = {**SECRETS, "backend_password": "other"}
        (change,) = plan({"/": changed}, [node], FINGERPRINT_KEY)
        self.assertIs(change.action, PlannedAction.UPDATE)
        self.assertEqual(change.expected_version, 4)
        self.assertNotIn("other", repr(change))


class ExampleTests(unittest.TestCase):
    """The example declarations load, and the tree accepts all of them."""

    def test_examples_are_accepted(self) -> None:
        for user, groups, deadline in (
            ("chaguanas", ("chat1", "chat2", "chat3"), 800),
            ("hanbit", ("flow1", "flow2", "flow3"), 3_000),
        ):
            with self.subTest(user=user):
                tree = SettingsTree()
                nodes = load_declarations(ROOT / "examples" / user)
                declared = {node.path: self.with_test_secrets(node) for node in nodes}
                PlanTests().apply_plan(tree, declared)
                self.assertEqual(len(tree.nodes()), 2 + len(groups) * 5)
                for group in groups:
                    self.assertEqual(tree.effective(group, None).deadline_ms, deadline)

    def with_test_secrets(self, node: Any) -> dict[str, Any]:
        secrets = {name: SECRETS.get(name, HASH) for name in node.secret_sources}
        return with_secrets(node.overrides, secrets)


class SettingsPageTests(unittest.TestCase):
    """The committed settings page matches the model."""

    def test_page_is_current(self) -> None:
        page = (ROOT / "docs" / "SETTINGS.md").read_text()
        self.assertEqual(
            page, render_settings_page(), "run script/generate-settings-page"
        )
