"""Tests of client accounts in the settings."""

import unittest
from typing import Any

from dogwoodspool_common import RateLimit
from dogwoodspool_settings import SettingsChange, SettingsTree
from dogwoodspool_settings.const import Level
from dogwoodspool_settings.overrides import validate_overrides

SHOP = {"users": ["app"], "rate_per_second": 5}


def problems(accounts: Any, level: Level = Level.ROOT) -> list[str]:
    """Return the problems of a node that declares some accounts."""
    return validate_overrides({"accounts": accounts}, level)[1]


class AccountSettingsTests(unittest.TestCase):
    """Accounts are declared at the root and validated."""

    def test_accounts_are_in_force_everywhere(self) -> None:
        tree = SettingsTree()
        (root,) = tree.nodes()
        overrides = {"accounts": {"shop": SHOP}}
        change = SettingsChange("c1", "/", root.version, overrides, "me")
        self.assertTrue(tree.apply(change, 1).is_ok())
        account = tree.effective(None, "fd1").accounts["shop"]
        self.assertEqual(account.users, ("app",))
        self.assertEqual(account.rate_limit, RateLimit(5, 5))

    def test_valid_accounts(self) -> None:
        self.assertEqual(problems({"shop": SHOP, "bakery": {"users": ["oven"]}}), [])
        self.assertEqual(problems({"shop": {**SHOP, "burst": 20}}), [])

    def test_invalid_accounts_are_named(self) -> None:
        cases: dict[str, Any] = {
            "accounts.bakery: user app": {"shop": SHOP, "bakery": {"users": ["app"]}},
            "accounts.shop.rate_per_second": {"shop": {"rate_per_second": 0}},
            "accounts.shop.burst": {"shop": {"burst": 0}},
            "accounts.shop.unknown": {"shop": {"unknown": 1}},
        }
        for expected, accounts in cases.items():
            found = problems(accounts)
            self.assertTrue(found and found[0].startswith(expected), (expected, found))

    def test_accounts_belong_to_the_root(self) -> None:
        found = problems({"shop": SHOP}, Level.GROUP)
        self.assertEqual(found, ["accounts: may only be set at the root"])
