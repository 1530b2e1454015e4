"""Tests of the platform's messages: settings file, configuration, heartbeats."""

import base64
import json
import socket
import unittest
import zlib
from dataclasses import asdict
from typing import Any

from dogwoodspool_api import ControlView
from dogwoodspool_backend.deadline_socket import DeadlineSocket
from dogwoodspool_common import (
    Consistency,
    RateLimit,
    Role,
    SystemClock,
    key_digest,
)
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_control.commands import ApplyDocument, encode_command
from dogwoodspool_control.settings.documents import pack, unpack
from dogwoodspool_control.state import ControlState
from dogwoodspool_following.view import ProxyView, ViewStore
from dogwoodspool_platform.boot import BootSettings
from dogwoodspool_platform.config_document import InvalidConfigError, decode_config
from dogwoodspool_platform.heartbeat_message import (
    InvalidHeartbeatError,
    decode_heartbeat,
    decode_incarnation,
)
from dogwoodspool_platform.server_state import decode_lag, decode_term
from dogwoodspool_platform.text_protocol import BadWordsError
from dogwoodspool_settings import SettingsTree
from expression import Result


def route(**changes: Any) -> dict[str, Any]:
    """Return a valid route."""
    return {
        "name": "r1",
        "host": "db1",
        "pathPrefix": "/",
        "kind": "read_your_writes",
        "timeoutMs": 800,
        "targetLatencyMs": 250,
        "priority": 2,
        "service": "s1",
        "maxAttempts": 2,
        "maxStalenessMs": 2500,
        **changes,
    }


def config(**changes: Any) -> dict[str, Any]:
    """Return a valid configuration."""
    return {
        "version": 7,
        "routes": [route()],
        "services": [{"name": "s1", "maxConns": 46, "syncReplicas": 1}],
        "limits": {"txIdleMs": 3000},
        **changes,
    }


def heartbeat(**changes: Any) -> dict[str, Any]:
    """Return a valid heartbeat body."""
    return {
        "service": "s1",
        "addr": "10.0.0.9:8080",
        "zone": "a",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "warmupLeftMs": 0,
        "dbRole": "replica",
        "seq": 4,
        "born": 1_790_000_000_000,
        **changes,
    }


def tenant(**changes: Any) -> dict[str, Any]:
    """Return a valid tenant."""
    return {
        "name": "t1",
        "apiKeys": ["key-1"],
        "priority": 1,
        "ratePerS": 83,
        "burst": 90,
        **changes,
    }


class TenantTests(unittest.TestCase):
    """Tenants become client accounts, without their keys."""

    def test_tenant_is_decoded_to_an_account(self) -> None:
        _, document = decode_config(config(tenants=[tenant()]))
        assert document.accounts is not None
        (account,) = document.accounts
        self.assertEqual(account.key_digests, (key_digest("key-1"),))
        self.assertEqual(account.rate_limit, RateLimit(83, 90))
        self.assertEqual(unpack(pack(document)).accounts, document.accounts)

    def test_rate_without_burst_allows_one_second_at_once(self) -> None:
        sent = tenant()
        del sent["burst"]
        _, document = decode_config(config(tenants=[sent]))
        assert document.accounts is not None
        self.assertEqual(document.accounts[0].rate_limit, RateLimit(83, 83))

    def test_configuration_without_tenants_needs_no_account(self) -> None:
        self.assertIsNone(decode_config(config())[1].accounts)
        self.assertEqual(decode_config(config(tenants=[]))[1].accounts, ())

    def test_tenants_are_required_where_their_rules_are_in_force(self) -> None:
        with self.assertRaises(InvalidConfigError):
            decode_config(config(), needs_tenants=True)
        decode_config(config(tenants=[]), needs_tenants=True)

    def test_document_of_an_earlier_build_is_read(self) -> None:
        _, document = decode_config(config())
        stored = asdict(document)
        del stored["accounts"]
        for endpoint in stored["endpoints"]:
            del endpoint["is_public"]
        text = zlib.compress(json.dumps(stored).encode())
        self.assertEqual(unpack(base64.b85encode(text).decode()), document)

    def test_invalid_tenants_are_rejected_without_naming_a_key(self) -> None:
        cases = {
            "shared key": [tenant(), tenant(name="t2")],
            "duplicate name": [tenant(), tenant(apiKeys=["key-2"])],
            "empty key": [tenant(apiKeys=[""])],
            "negative rate": [tenant(ratePerS=-1)],
            "infinite rate": [tenant(ratePerS=float("inf"))],
            "name that is not a word": [tenant(name="a b")],
        }
        for name, tenants in cases.items():
            with self.assertRaises(InvalidConfigError, msg=name) as raised:
                decode_config(config(tenants=tenants))
            self.assertNotIn("key-1", str(raised.exception))


class ConfigTests(unittest.TestCase):
    """A configuration is decoded completely or rejected."""

    def test_route_is_decoded_to_an_endpoint(self) -> None:
        version, document = decode_config(config())
        (endpoint,) = document.endpoints
        self.assertEqual(version, 7)
        self.assertIs(endpoint.consistency, Consistency.READ_YOUR_WRITES)
        self.assertEqual((endpoint.deadline_ms, endpoint.max_age_ms), (800, 2500))

    def test_limits_and_services_become_settings_nodes(self) -> None:
        _, document = decode_config(config())
        nodes = document.nodes
        self.assertEqual(nodes["/"], {"max_transaction_idle_ms": 3000})
        self.assertEqual(
            nodes["/s1/s1"], {"write_ack": "group", "server_connections": 46}
        )

    def test_source_is_preserved_unchanged(self) -> None:
        sent = config(extra={"kept": [1, 2]})
        _, document = decode_config(sent)
        self.assertIn('"extra":{"kept":[1,2]}', unpack(pack(document)).source)

    def test_invalid_configurations_are_rejected(self) -> None:
        cases: dict[str, Any] = {
            "unknown service": config(routes=[route(service="s9")]),
            "duplicate route": config(routes=[route(), route(name="r2")]),
            "zero timeout": config(routes=[route(timeoutMs=0)]),
            "missing fields": {"version": 7, "routes": []},
            "version is a string": config(version="7"),
            "unknown kind": config(routes=[route(kind="dirty")]),
            "a list": [],
            "nothing": None,
        }
        for name, bad in cases.items():
            with self.assertRaises(InvalidConfigError, msg=name):
                decode_config(bad)


class DocumentTests(unittest.TestCase):
    """A document replaces the settings tree unless its revision is already known."""

    def test_groups_missing_from_a_newer_document_are_removed(self) -> None:
        from dogwoodspool_control.settings.documents import DocumentState  # noqa: PLC0415

        tree, state = SettingsTree(), DocumentState()
        both = config(services=[{"name": "s1"}, {"name": "s2"}])
        for index, (version, sent) in enumerate([(7, both), (9, config())], 1):
            _, document = decode_config({**sent, "version": version})
            state.replace(version, pack(document), "operator", tree, index)
        self.assertTrue(tree.has_group("s1"))
        self.assertFalse(tree.has_group("s2"))

    def test_different_content_with_the_same_revision_is_rejected(self) -> None:
        from dogwoodspool_control.settings.documents import DocumentState  # noqa: PLC0415

        tree, state = SettingsTree(), DocumentState()
        _, first = decode_config(config())
        _, second = decode_config(config(routes=[]))
        state.replace(7, pack(first), "operator", tree, 1)
        answer: Result[bool, Any] = state.replace(7, pack(second), "operator", tree, 2)
        self.assertFalse(answer.ok)
        self.assertEqual(len(state.endpoints), 1)


class InForceTests(unittest.TestCase):
    """What a document that was applied describes is in force at proxies, all of it."""

    def setUp(self) -> None:
        self.state = ControlState(SystemClock())
        self.following = ViewStore("a", SystemClock())
        self.index = 0

    def apply(self, **changes: Any) -> None:
        """Apply a configuration; fail if it is refused."""
        self.index += 1
        version, document = decode_config(config(version=self.index, **changes))
        command = encode_command(ApplyDocument(version, pack(document), "operator"))
        outcome = self.state.apply(self.index, command)
        self.assertTrue(outcome["is_accepted"], outcome)

    def view(self) -> ProxyView:
        """Return the view of a proxy, the same by differences and as a whole."""
        since = self.following.view.version
        for store in (self.following, fresh := ViewStore("a", SystemClock())):
            sent = self.state.view_since(since if store is self.following else 0)
            store.adopt(ControlView.model_validate_json(sent.model_dump_json()))
        self.assertEqual(self.following.view.databases, fresh.view.databases)
        return self.following.view

    def timeouts(self) -> dict[str, int]:
        """Return the time limit of each database in force at a proxy."""
        databases = self.view().databases
        return {name: databases[name].deadline_ms for name in databases}

    def test_routes_of_one_name_all_exist(self) -> None:
        # Guards against a database that callers cannot reach, because another route
        # has the same name.
        shared = [route(host=f"db{number}") for number in range(300)]
        self.apply(routes=shared)
        self.assertEqual(set(self.view().databases), {one["host"] for one in shared})

    def test_routes_of_one_name_come_change_and_go(self) -> None:
        # Guards against differences that remove, or keep, the wrong database.
        sent: tuple[dict[str, int], ...] = (
            {"db1": 800},
            {"db1": 800, "db2": 900},
            {"db2": 900, "db1": 803},
            {"db2": 903},
            {"db3": 700, "db2": 903, "db1": 600},
            {"db1": 600, "db3": 703},
            {},
            {"db2": 500},
        )
        for wanted in sent:
            self.apply(
                routes=[
                    route(host=host, timeoutMs=timeout)
                    for host, timeout in wanted.items()
                ]
            )
            self.assertEqual(self.timeouts(), wanted)

    def test_long_shared_name_and_a_name_with_its_digest(self) -> None:
        # Guards against two endpoints of one name after the names were made unique.
        long = "r" * 64
        routes = [route(name=long), route(name=long, host="db2")]
        _, document = decode_config(config(routes=routes))
        routes.append(route(name=document.endpoints[1].name, host="db3"))
        for sent in (routes, routes[::-1]):
            self.apply(routes=sent)
            self.assertEqual(set(self.view().databases), {"db1", "db2", "db3"})

    def test_name_of_a_route_may_be_any_text(self) -> None:
        # Guards against refusing a configuration for a name that nothing refers to.
        names = ("a b", "a/b", "é", "", "r" * 65, "r" * 5_000, "r1\n", "r1")
        routes = [
            route(name=name, host=f"db{number}") for number, name in enumerate(names)
        ]
        self.apply(routes=routes)
        self.assertEqual(set(self.view().databases), {one["host"] for one in routes})

    def test_limits_beyond_the_bounds_of_the_settings_act_as_the_bounds(self) -> None:
        # Guards against refusing a valid configuration, which then never takes effect.
        cases = (
            (100_000, 100_000, 86_400_000, 86_400_000),
            (100_001, 100_000, 86_400_001, 86_400_000),
            (10**30, 100_000, 10**30, 86_400_000),
            (46, 46, 99, 100),
            (46, 46, 0, 100),
        )
        for sent, connections, sent_ms, idle_ms in cases:
            self.apply(
                services=[{"name": "s1", "maxConns": sent}],
                limits={"txIdleMs": sent_ms},
            )
            settings = self.view().tree.effective("s1", "a")
            self.assertEqual(settings.server_connections, connections)
            self.assertEqual(settings.max_transaction_idle_ms, idle_ms)
            source = unpack(self.state.document.content).source
            self.assertIn(f'"maxConns":{sent}}}', source)
            self.assertIn(f'"txIdleMs":{sent_ms}}}', source)

    def test_statements_of_a_route_with_very_long_times_are_sent(self) -> None:
        # Guards against a database whose every statement fails, since its deadline is
        # no time that a socket can wait until.
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        clock = SystemClock()
        for sent_ms in (10**13, 10**30, 10**400, 86_400_001):
            names = ("timeoutMs", "targetLatencyMs", "maxStalenessMs")
            self.apply(routes=[route(**dict.fromkeys(names, sent_ms))])
            endpoint = self.view().databases["db1"]
            deadline = clock.now() + endpoint.deadline_ms / MILLISECONDS
            DeadlineSocket(ours, clock, deadline).sendall(b"statement")
            self.assertEqual(endpoint.deadline_ms, 86_400_000)
            self.assertEqual(endpoint.target_latency_ms, 86_400_000)
            self.assertEqual(endpoint.max_age_ms, 86_400_000)

    def test_target_of_no_time_is_none(self) -> None:
        # Guards against refusing a valid configuration, which then never takes effect.
        self.apply(routes=[route(targetLatencyMs=0)])
        endpoint = self.view().databases["db1"]
        self.assertEqual(endpoint.target_latency_ms, endpoint.deadline_ms)


class HeartbeatTests(unittest.TestCase):
    """A heartbeat is decoded to a server or rejected."""

    def test_heartbeat_is_decoded_to_a_server(self) -> None:
        decoded = decode_heartbeat("i-1", heartbeat())
        self.assertEqual(decoded.server.name, "i-1")
        self.assertEqual(decoded.server.incarnation, 1_790_000_000_000)
        self.assertIs(decoded.role, Role.REPLICA)

    def test_invalid_heartbeats_are_rejected(self) -> None:
        cases: dict[str, Any] = {
            "missing fields": {key: 1 for key in ("seq",)},
            "wrong type": heartbeat(seq="4"),
            "boolean": heartbeat(seq=True),
            "fraction": heartbeat(born=1.5),
            "unknown state": heartbeat(state="sleeping"),
            "invalid address": heartbeat(addr="somewhere"),
            "a list": [],
            "nothing": None,
        }
        for name, bad in cases.items():
            with self.assertRaises(InvalidHeartbeatError, msg=name):
                decode_heartbeat("i-1", bad)

    def test_heartbeats_of_another_writer_are_rejected(self) -> None:
        """Guard against a message of another writer that names a server for good."""
        others: dict[str, list[Any]] = {
            "service": [None, 7, "", ["s1"]],
            "addr": [None, 7, "10.0.0.9", "10.0.0.9:70000", "10.0.0.9:0", "host:80"],
            "zone": [None, 7, ""],
            "version": [None, 7, "", ["v1"], True],
            "slots": [None, "3", 0, -1, 1.5, True],
            "state": [None, "sleeping", 1],
            "warmupLeftMs": [None, "none", "0", True, -5, float("nan"), [0]],
            "dbRole": [None, "witness", 1],
            "seq": [None, "4", -1, 1.5, True],
        }
        for field, values in others.items():
            missing = heartbeat()
            del missing[field]
            for bad in [missing, *(heartbeat(**{field: value}) for value in values)]:
                with (
                    self.subTest(field=field, value=bad.get(field)),
                    self.assertRaises(InvalidHeartbeatError),
                ):
                    decode_heartbeat("i-1", bad)

    def test_heartbeat_of_a_server_that_warms_up(self) -> None:
        """Guard against a server that is refused while it is slow."""
        for left in (0, 1200, 1200.5):
            decoded = decode_heartbeat("i-1", heartbeat(warmupLeftMs=left))
            self.assertEqual(decoded.server.name, "i-1")

    def test_start_time_of_a_deregistration_is_a_whole_number_or_absent(self) -> None:
        # Guards against ending a process that the message does not identify.
        self.assertIsNone(decode_incarnation(None))
        self.assertIsNone(decode_incarnation({}))
        self.assertEqual(decode_incarnation({"born": 7}), 7)
        for born in ("7", 1.5, True, 0):
            with self.assertRaises(InvalidHeartbeatError, msg=born):
                decode_incarnation({"born": born})
        bodies: list[Any] = [[], "7", 7]
        for body in bodies:
            with self.assertRaises(InvalidHeartbeatError, msg=body):
                decode_incarnation(body)

    def test_invalid_server_name_is_rejected(self) -> None:
        with self.assertRaises(InvalidHeartbeatError):
            decode_heartbeat("i 1", heartbeat())


class ServerStateTests(unittest.TestCase):
    """The state that a server reports of itself is decoded or rejected."""

    def test_numbers_are_decoded(self) -> None:
        self.assertEqual(decode_term("17"), 17)
        self.assertEqual(decode_lag("12"), 12.0)
        self.assertEqual(decode_lag("0.5"), 0.5)

    def test_other_texts_are_rejected(self) -> None:
        """Guard against a term or an age that outranks all others."""
        for text in ("", "-1", "+1", "1_0", "1.0", "x", "²"):
            with self.subTest(text), self.assertRaises(BadWordsError):
                decode_term(text)
        for text in ("", "-1", "nan", "inf", "-inf", "x"):
            with self.subTest(text), self.assertRaises(BadWordsError):
                decode_lag(text)


class BootSettingsTests(unittest.TestCase):
    """The settings file may contain more than a process needs."""

    def test_unknown_fields_are_ignored(self) -> None:
        boot = BootSettings.model_validate(
            {
                "node": "core-a-1",
                "ip": "10.1.0.11",
                "zone": "a",
                "internalPorts": [7440, 7455],
                "seeds": ["10.1.0.11:8782", "10.2.0.8:8782"],
                "bootstrap": True,
                "listen": {"control": "10.1.0.11:8782"},
                "novelty": 1,
            }
        )
        self.assertEqual(str(boot.internal_address), "10.1.0.11:7440")
        self.assertEqual(
            [str(seed) for seed in boot.seed_addresses],
            ["10.1.0.11:7440", "10.2.0.8:7440"],
        )
