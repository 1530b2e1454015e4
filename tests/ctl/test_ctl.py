"""Tests of the operators' command line against a fake control."""

import io
import json
import tempfile
import unittest
from contextlib import redirect_stderr
from pathlib import Path
from typing import Any

from dogwoodspool_api import const
from dogwoodspool_common import JsonResponse
from dogwoodspool_ctl import ExitCode, execute

from .fake_control import SHARED_KEY, FakeControl, FakeFollower, start_server

TOKEN_KEY = "5e" * 32
PASSWORD = "open sesame"
HASH = "A4B6157319038724E3560894F7F932C8886EBFCF"
FILES = {
    "root.yaml": "token_key: {env: TOKEN}\nbackend_password: {file: secret/word}\n"
    "users: {shop: {env: HASH}}\n",
    "chat/service.yaml": "deadline_ms: 800\n",
    "chat/g1/group.yaml": "",
    "chat/g1/a.yaml": "replica_wait_ms: 50\n",
}
PATHS = ["/", "/chat", "/chat/g1", "/chat/g1/a"]


class CtlTestCase(unittest.TestCase):
    """Run commands against a fake leader."""

    def setUp(self) -> None:
        self.control = FakeControl()
        self.addCleanup(self.control.server.unload)
        self.addresses = str(self.control.server.address)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "tree"
        for name, text in FILES.items():
            self.write(name, text)
        (self.folder / ".hidden").write_text("left out")
        self.secret = self.folder / "../secret"
        self.secret.mkdir()
        (self.secret / "word").write_text(f"{PASSWORD}\n")
        self.write("root.yaml", FILES["root.yaml"].replace("secret/", "../secret/"))
        self.is_confirmed = False

    def write(self, name: str, text: str) -> None:
        file = self.folder / name
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(text)

    def run_ctl(self, *arguments: str, timeout_s: float = 5) -> tuple[int, str]:
        """Run one command and return exit code and all output."""
        environment = {
            "DOGWOODSPOOL_CONTROL": self.addresses,
            "DOGWOODSPOOL_SHARED_KEY": SHARED_KEY,
            "DOGWOODSPOOL_TIMEOUT_S": str(timeout_s),
            "DOGWOODSPOOL_AUTHOR": "ana",
            "TOKEN": TOKEN_KEY,
            "HASH": HASH,
        }
        output = io.StringIO()
        with redirect_stderr(output):
            code = execute(
                list(arguments), environment, output, lambda _: self.is_confirmed
            )
        return code, output.getvalue()

    def run_ok(self, *arguments: str) -> str:
        code, text = self.run_ctl(*arguments)
        self.assertEqual(code, ExitCode.DONE, text)
        return text

    def apply(self) -> str:
        return self.run_ok("apply", str(self.folder), "--yes")

    def changed_paths(self) -> list[str]:
        return [entry.path for entry in reversed(self.control.tree.history(100))]


class ApplyTests(CtlTestCase):
    """Declarations take effect exactly once, even when answers are lost."""

    def test_apply_succeeds_when_every_first_answer_is_lost(self) -> None:
        """Guard against a conflict of a change with its own first copy.

        Control commits a change, its answer is lost, and the change is sent again
        with an expected version that the first copy has already replaced.
        """
        self.control.loses_first_answer_of_each_change = True
        self.apply()
        self.assertEqual(self.changed_paths(), PATHS)
        self.assertIn("nothing to change", self.apply())
        self.assertEqual(self.changed_paths(), PATHS)

    def test_interrupted_run_can_be_repeated(self) -> None:
        """Guard against a conflict of a second run with the first one's last change.

        The first run timed out while its change was in flight. The second run read
        the tree before that change was committed, and sent its own after it.
        """
        before = self.control.tree.nodes()
        self.control.lost_answers = 1_000
        code, text = self.run_ctl("apply", str(self.folder), "--yes", timeout_s=0.1)
        self.assertEqual(code, ExitCode.CONTROL_UNREACHABLE, text)
        self.assertEqual(self.changed_paths(), ["/"])
        self.control.lost_answers = 0
        self.control.stale_nodes = before
        self.apply()
        self.assertEqual(self.changed_paths(), PATHS)

    def test_rejected_change_is_evaluated_again_after_its_parent_changed(self) -> None:
        """Guard against declarations that stay rejected after the cause was removed.

        Control remembers rejections by change id, and ``apply`` derives the same id
        for the same change.
        """
        self.control.apply("/", 0, {"deadline_ms": 40, "replica_wait_ms": 5})
        self.write("root.yaml", "deadline_ms: 40\nreplica_wait_ms: 5\n")
        self.write("chat/service.yaml", "")
        code, text = self.run_ctl("apply", str(self.folder), "--yes")
        self.assertEqual(code, ExitCode.REJECTED)
        self.assertIn("/chat/g1/a: replica_wait_ms must be below", text)
        self.run_ok("set", "/chat", "deadline_ms=800")
        self.write("chat/service.yaml", "deadline_ms: 800")
        self.apply()
        self.assertEqual(self.changed_paths()[-1], "/chat/g1/a")

    def test_plan_changes_nothing_and_apply_asks_for_confirmation(self) -> None:
        text = self.run_ok("plan", str(self.folder))
        self.assertIn("+ /chat\n    deadline_ms: (inherited) -> 800", text)
        code, _ = self.run_ctl("apply", str(self.folder))
        self.assertEqual(code, ExitCode.DECLINED)
        self.assertEqual(self.changed_paths(), [])
        self.is_confirmed = True
        self.run_ok("apply", str(self.folder))
        self.assertEqual(self.changed_paths(), PATHS)

    def test_bad_declaration_or_secret_is_reported(self) -> None:
        (self.secret / "word").unlink()
        code, text = self.run_ctl("plan", str(self.folder))
        self.assertEqual(code, ExitCode.BAD_SETTINGS)
        self.assertIn("backend_password: file ../secret/word: No such file", text)
        self.write("chat/service.yaml", "deadline: 5")
        code, text = self.run_ctl("plan", str(self.folder))
        self.assertEqual(code, ExitCode.BAD_SETTINGS)
        self.assertIn("chat/service.yaml: deadline: there is no such setting", text)


class ChangeTests(CtlTestCase):
    """Single changes keep the overrides that they do not name."""

    def test_conflict_names_the_current_version(self) -> None:
        self.apply()
        self.control.before_change = lambda: self.control.apply("/chat", 1, {})
        code, text = self.run_ctl("--json", "set", "/chat", "deadline_ms=700")
        self.assertEqual(code, ExitCode.CONFLICT)
        answer = json.loads(text)
        self.assertEqual((answer["path"], answer["expected_version"]), ("/chat", 1))
        self.assertIn("the node's version is 2", answer["message"])
        self.assertEqual(self.control.tree.effective("g1", None).deadline_ms, 2_000)

    def test_set_keeps_secrets_and_rollback_restores_them(self) -> None:
        self.apply()
        self.run_ok("set", "/", "deadline_ms=900", "users.flow={env: HASH}")
        values = self.control.tree.effective(None, None)
        self.assertEqual((values.token_key, values.deadline_ms), (TOKEN_KEY, 900))
        self.assertEqual(values.users, {"shop": HASH, "flow": HASH})
        self.run_ok("set", "/", "backend_password=1234", "deadline_ms=", "users.shop=")
        values = self.control.tree.effective(None, None)
        self.assertEqual((values.backend_password, values.deadline_ms), ("1234", 2_000))
        self.assertEqual(values.users, {"flow": HASH})
        self.run_ok("rollback", "/", "1")
        values = self.control.tree.effective(None, None)
        self.assertEqual(values.backend_password, PASSWORD)
        self.assertEqual(values.users, {"shop": HASH})
        self.assertIn("nothing to change", self.apply())

    def test_rollback_to_an_unknown_version_is_refused(self) -> None:
        code, text = self.run_ctl("rollback", "/", "7")
        self.assertEqual(code, ExitCode.REJECTED)
        self.assertIn("version 7 is not in the history", text)

    def test_no_secret_is_written(self) -> None:
        shown = [self.run_ok("plan", str(self.folder)), self.apply()]
        self.write("root.yaml", "backend_password: {env: HASH}")
        shown.append(self.run_ok("plan", str(self.folder)))
        for command in (["get", "/"], ["get", "/chat", "--explain"], ["history"]):
            shown += [self.run_ok(*command), self.run_ok("--json", *command)]
        for secret in (TOKEN_KEY, PASSWORD, HASH, SHARED_KEY):
            self.assertNotIn(secret, "".join(shown))
        self.assertRegex(shown[2], r'backend_password: "\*\*\*:\w+" -> "\*\*\*:\w+"')


class AccountsTests(CtlTestCase):
    """Operators see what each client account uses of its limit."""

    def setUp(self) -> None:
        super().setUp()
        shop = {"users": ["shop"], "rate_per_second": 5}
        (root,) = self.control.tree.nodes()
        self.control.apply("/", root.version, {"accounts": {"shop": shop}})

    def proxy(self, name: str, address: str) -> dict[str, Any]:
        return {
            "proxy": name,
            "failure_domain": "a",
            "address": address,
            "view_version": 4,
            "seconds_since_renewal": 0.1,
        }

    def serve(self, operations: int) -> str:
        """Start a proxy that reports operations; return its address."""
        usage = {"account": "shop", "operations": operations, "rate_limited": 2}
        routes = {
            ("GET", const.PATH_STATUS): lambda _: JsonResponse({"accounts": [usage]})
        }
        server = start_server(routes)
        self.addCleanup(server.unload)
        return str(server.address)

    def test_operations_are_summed_over_proxies(self) -> None:
        self.control.proxies = [
            self.proxy("entry-1", self.serve(30)),
            self.proxy("entry-2", self.serve(12)),
        ]
        (shown,) = json.loads(self.run_ok("--json", "accounts"))["accounts"]
        self.assertEqual((shown["account"], shown["rate_per_second"]), ("shop", 5))
        self.assertEqual(shown["proxies"]["entry-2"]["operations"], 12)
        text = self.run_ok("accounts")
        self.assertRegex(text, r"shop +shop +5.* +42 +4 +entry-1:30,entry-2:12")

    def test_proxy_without_an_answer_is_named(self) -> None:
        self.control.proxies = [self.proxy("entry-3", "127.0.0.1:1")]
        text = self.run_ok("accounts")
        self.assertIn("no answer from entry-3", text)
        self.assertRegex(text, r"shop +shop +5.* +0 +0")


class RolloutTests(CtlTestCase):
    """Operators see whether a change is in force at every proxy."""

    def proxy(self, view_version: int) -> dict[str, Any]:
        return {
            "proxy": "entry-1",
            "failure_domain": "a",
            "address": str(self.control.server.address),
            "view_version": view_version,
            "seconds_since_renewal": 0.1,
        }

    def test_wait_ends_once_all_proxies_have_the_version(self) -> None:
        self.control.proxies = [self.proxy(4)]
        text = self.run_ok("apply", str(self.folder), "--yes", "--wait")
        self.assertIn("in force at all 1 proxies", text)

    def test_wait_names_the_proxies_behind(self) -> None:
        self.control.proxies = [self.proxy(3)]
        code, text = self.run_ctl(
            "apply", str(self.folder), "--yes", "--wait", timeout_s=0.1
        )
        self.assertEqual(code, ExitCode.NOT_IN_FORCE)
        self.assertIn("not yet in force at entry-1 (version 3)", text)
        (shown,) = json.loads(self.run_ok("--json", "rollout"))["proxies"]
        self.assertEqual((shown["view_version"], shown["is_current"]), (3, False))

    def test_commands_post_the_expected_messages(self) -> None:
        self.control.proxies = [self.proxy(0)]
        self.run_ok("drain", "entry-1")
        self.run_ok("forget", "entry-1")
        self.run_ok("promote", "g1", "--to", "s2")
        self.run_ok("voters", "add", "v2", "127.0.0.1:7002")
        self.run_ok("voters", "remove", "v1")
        posted = self.control.posted
        self.assertEqual(posted[const.PATH_DRAIN], [{}])
        self.assertEqual(posted[const.PATH_FORGET_PROXY], [{"proxy": "entry-1"}])
        (promotion,) = posted[const.PATH_PROMOTE]
        self.assertEqual((promotion["group"], promotion["candidate"]), ("g1", "s2"))
        self.assertEqual(
            posted[const.PATH_VOTERS],
            [
                {"voter": "v2", "address": "127.0.0.1:7002"},
                {"voter": "v1"},
            ],
        )
        self.assertIn("id=v1", self.run_ok("voters", "list"))
        status = self.run_ok("status")
        self.assertIn("entry-1", status)
        self.assertRegex(status, "g1 +3 +planned +begun +entry-2")


class LeaderTests(CtlTestCase):
    """The leader is found through any control process that answers."""

    def follower(self, leader: str) -> str:
        follower = FakeFollower(leader)
        self.addCleanup(follower.server.unload)
        return str(follower.server.address)

    def test_leader_is_found_through_a_follower(self) -> None:
        leader = self.addresses
        self.addresses = self.follower(leader)
        self.assertIn("/ version 0", self.run_ok("get", "/"))
        self.assertIn("version 0", self.run_ok("rollout"))
        self.addresses = f"{self.follower('')},{leader}"
        self.assertIn("/ version 0", self.run_ok("get", "/"))

    def test_follower_that_names_a_lost_leader_does_not_hide_the_others(self) -> None:
        """Guard against asking nobody but a cut-off process and the leader it names.

        That leader was lost, and its address is not in the list of the command.
        """
        lost = "127.0.0.1:1"
        self.addresses = f"{self.follower(lost)},{self.addresses}"
        code, text = self.run_ctl("get", "/", timeout_s=1.0)
        self.assertEqual(code, ExitCode.DONE, text)

    def test_missing_leader_is_reported(self) -> None:
        self.addresses = f"127.0.0.1:1,{self.follower('')}"
        code, text = self.run_ctl("get", "/", timeout_s=0.1)
        self.assertEqual(code, ExitCode.CONTROL_UNREACHABLE)
        self.assertIn("no control leader answered", text)

    def test_status_without_a_leader_shows_the_state_of_a_voter(self) -> None:
        self.addresses = self.follower("")
        code, text = self.run_ctl("status", timeout_s=0.1)
        self.assertEqual(code, ExitCode.DONE)
        self.assertIn("leader unknown\nversion 7", text)
