"""Tests of client accounts on the platform, over real sockets."""

from functools import partial

from .system import SystemFixture, eventually
from .test_messages import tenant

SHOP = tenant(name="shop", apiKeys=["key-1", "key-2"])
BAKERY = tenant(name="bakery", apiKeys=["key-3"])


class AccountTests(SystemFixture):
    """Callers are identified by their keys, which come and go."""

    def configuration(self, version: int) -> dict[str, object]:
        return {**super().configuration(version), "tenants": [SHOP, BAKERY]}

    def apply(self, version: int, *tenants: dict[str, object]) -> None:
        """Put a configuration with other tenants in force."""
        body = {**super().configuration(version), "tenants": list(tenants)}
        self.put_until_acknowledged(body)

    def ran_for(self) -> dict[str, str]:
        """Return the account that each request ran for."""
        ran: dict[str, str] = {}
        for server in self.servers:
            ran.update(server.accounts)
        return ran

    def is_refused(self, key: str) -> bool:
        greeting = self.client(key=key).greeting
        return greeting.startswith("ERROR AUTHFAIL")

    def test_requests_run_in_the_name_of_the_account(self) -> None:
        for key in ("key-1", "key-2", "key-3"):
            client = self.client(key=key)
            self.assertEqual(client.greeting, "READY I -")
            eventually(partial(self.write, client, 1), "a write is served")
            client.ask(f"by-{key}", "READ k1")
        ran = self.ran_for()
        self.assertEqual(ran["by-key-1"], "shop")
        self.assertEqual(ran["by-key-2"], "shop")
        self.assertEqual(ran["by-key-3"], "bakery")
        self.assertLessEqual(set(ran.values()), {"shop", "bakery"})

    def test_unknown_key_is_refused(self) -> None:
        for key in ("key-9", "shop", ""):
            self.assertTrue(self.is_refused(key), key)

    def test_revoked_key_ends_its_idle_connections(self) -> None:
        revoked, kept = self.client(key="key-1"), self.client(key="key-2")
        self.apply(8, {**SHOP, "apiKeys": ["key-2"]}, BAKERY)
        eventually(partial(self.is_refused, "key-1"), "the key is refused")
        self.assertEqual(revoked.read(), "")
        eventually(partial(self.write, kept, 1), "the other key works on")

    def test_key_that_moves_runs_for_its_new_account(self) -> None:
        client = self.client(key="key-2")
        eventually(partial(self.write, client, 1), "a write is served")
        self.apply(8, {**SHOP, "apiKeys": ["key-1"]}, {**BAKERY, "apiKeys": ["key-2"]})
        eventually(partial(self.is_refused, "key-3"), "the change is in force")
        client.ask("moved", "READ k1")
        self.assertEqual(self.ran_for()["moved"], "bakery")
