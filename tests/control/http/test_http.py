"""Tests of the HTTP endpoints of a control process."""

import contextlib
import threading
import time
import unittest
from typing import Any

from dogwoodspool_api import MemberMessage
from dogwoodspool_api.const import (
    PATH_PROMOTE,
    PATH_RENEW,
    PATH_SETTINGS_CHANGE,
    PATH_WATCH,
    QUERY_ALL_EPOCHS,
    QUERY_EPOCHS,
    QUERY_GIVEN_UP,
    QUERY_RETIRED,
)
from dogwoodspool_common import (
    Address,
    JsonRequest,
    JsonResponse,
    ManualClock,
    Position,
    PrimaryEpoch,
    endpoints_digest,
)
from dogwoodspool_consensus import NotConfirmedError, OutcomeUnknownError
from dogwoodspool_control.command_queue import CommandQueue
from dogwoodspool_control.commands import (
    ApplyDocument,
    BeginPromotion,
    RecordEpoch,
    RecordServer,
    RegisterProxy,
    RetireServer,
)
from dogwoodspool_control.const import (
    MAX_CONFIRMED_READS,
    MAX_WATCHERS,
    MIN_POLL_RETRY_SECONDS,
)
from dogwoodspool_control.grants.renewals import RenewalRate, Renewals
from dogwoodspool_control.grants.shares import ShareLedger
from dogwoodspool_control.http.api import ControlApi
from dogwoodspool_control.http.support import WaitSlots
from dogwoodspool_control.http.watch import WatchApi
from dogwoodspool_control.models import PromotionReason
from dogwoodspool_control.promotion.detector import FailureDetector
from dogwoodspool_control.promotion.planned import PlannedPromotions
from dogwoodspool_control.promotion.server_observations import ServerObservations
from dogwoodspool_control.settings.documents import Document, pack

from ..fakes import (
    GROUP,
    FakeLog,
    FakeServer,
    FakeServers,
    Voter,
    populate,
    renewal,
    server,
)


class ControlApiTests(unittest.TestCase):
    """Responses of the leader and of a follower."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.voter = Voter(self.clock, FakeLog())
        self.voter.lead(term=1)
        populate(self.voter, {"p1": "fd1"})
        node, state = self.voter.node, self.voter.state
        self.queue = CommandQueue(self.clock, node)
        servers = FakeServers({"s2": FakeServer(Position(1, 1), is_silent=True)})
        renewals = Renewals(
            self.clock,
            node,
            state,
            table=self.voter.table,
            ledger=ShareLedger(self.clock),
            detector=FailureDetector(self.clock),
            server_observations=ServerObservations(self.clock),
            queue=self.queue,
            rate=RenewalRate(self.clock, 16),
            on_unreachable=lambda: None,
        )
        planned = PlannedPromotions(
            self.clock, node, state, servers, self.voter.timeline
        )
        self.slots = slots = WaitSlots(MAX_WATCHERS)
        api = ControlApi(node, state, renewals, planned, slots)
        members = [
            MemberMessage(address="10.0.0.1:1", failure_domain="fd1", is_voter=is_voter)
            for is_voter in (True, False)
        ]
        watch = WatchApi(node, state, slots, self.clock, lambda: members)
        self.watch = watch
        routes = [*api.routes(), *watch.routes()]
        self.routes = {route.path: route.handler for route in routes}

    def call(self, path: str, body: Any = None, **query: str) -> JsonResponse:
        return self.routes[path](JsonRequest(path, query, body))

    def renew(self, proxy: str, **changes: Any) -> JsonResponse:
        message = renewal(proxy, **changes)
        return self.call(PATH_RENEW, message.model_dump(mode="json"))

    def change(self, change_id: str, version: int, **overrides: Any) -> JsonResponse:
        body = {
            "change_id": change_id,
            "path": "/",
            "expected_version": version,
            "overrides": overrides,
            "author": "ana",
        }
        return self.call(PATH_SETTINGS_CHANGE, body)

    def test_renewal_returns_grants_and_base_shares(self) -> None:
        body = self.renew("p1", connection_demand={"s1": 9}).body
        self.assertEqual([grant["group"] for grant in body["grants"]], [GROUP])
        self.assertEqual(body["connection_shares"]["s1"], 1)
        self.clock.advance(1.53)
        body = self.renew("p1", connection_demand={"s1": 9}).body
        self.assertEqual(body["connection_shares"]["s1"], 9)

    def test_new_proxy_is_registered_before_it_gets_grants(self) -> None:
        self.assertEqual(self.renew("p2").body["grants"], [])
        self.queue.commit_next()
        self.assertEqual(len(self.renew("p2").body["grants"]), 1)

    def test_votes_of_members_are_sent_only_on_request(self) -> None:
        """Guard against proxies of earlier builds that reject the answer."""
        asked = self.call(PATH_WATCH, voters="1").body["members"]
        self.assertEqual([one.get("is_voter") for one in asked], [None, False])
        for one in self.call(PATH_WATCH).body["members"]:
            self.assertNotIn("is_voter", one)

    def test_servers_given_up_are_sent_only_on_request(self) -> None:
        """Guard against proxies of an earlier build that reject the view."""
        self.voter.node.commit(BeginPromotion(GROUP, 1, PromotionReason.FAILED))
        (asked,) = self.call(PATH_WATCH, given_up="1").body["view"]["groups"]
        (not_asked,) = self.call(PATH_WATCH).body["view"]["groups"]
        self.assertEqual(asked["given_up"], ["s1"])
        self.assertNotIn("given_up", not_asked)

    def test_retirements_are_sent_only_on_request(self) -> None:
        """Guard against proxies of an earlier build that reject the view."""
        self.voter.node.commit(RecordServer(server("s1", is_leaving=True)))
        self.voter.node.commit(RetireServer("s1", 0))
        asked = self.call(PATH_WATCH, **{QUERY_RETIRED: "1"}).body["view"]["servers"]
        retired = [one["server"] for one in asked if one.get("is_retired")]
        self.assertEqual(retired, ["s1"])
        for one in self.call(PATH_WATCH).body["view"]["servers"]:
            self.assertNotIn("is_retired", one)

    def test_epochs_are_sent_only_on_request(self) -> None:
        """Guard against proxies of an earlier build that reject the view."""
        epoch = PrimaryEpoch("s1", 1, 4)
        self.voter.node.commit(RecordEpoch(GROUP, 1, epoch))
        (asked,) = self.call(PATH_WATCH, **{QUERY_EPOCHS: "1"}).body["view"]["groups"]
        self.assertEqual(asked["epoch"], {"server": "s1", "incarnation": 1, "term": 4})
        for query in ({}, {QUERY_EPOCHS: "0"}, {QUERY_GIVEN_UP: "1"}):
            (other,) = self.call(PATH_WATCH, **query).body["view"]["groups"]
            self.assertNotIn("epoch", other)

    def test_recorded_epoch_is_a_new_view(self) -> None:
        """Guard against proxies that wait for an epoch which they are not sent."""
        version = self.voter.state.version
        self.voter.node.commit(RecordEpoch(GROUP, 1, PrimaryEpoch("s1", 1, 4)))
        query = {QUERY_EPOCHS: "1", "after": str(version)}
        (group,) = self.call(PATH_WATCH, **query).body["view"]["groups"]
        self.assertEqual(group["epoch"]["term"], 4)

    def test_coverage_of_epochs_is_sent_only_on_request(self) -> None:
        """Guard against proxies that know epochs and reject the newer field."""
        for query in ({}, {QUERY_EPOCHS: "1"}, {QUERY_ALL_EPOCHS: "1"}):
            self.assertNotIn("epochs", self.call(PATH_WATCH, **query).body["view"])
        known = {QUERY_EPOCHS: "1", QUERY_ALL_EPOCHS: "0"}
        self.assertEqual(self.call(PATH_WATCH, **known).body["view"]["epochs"], "all")

    def test_all_epochs_are_sent_only_on_request(self) -> None:
        """Guard against answers with all groups to each proxy at each change."""
        self.voter.node.commit(RecordEpoch(GROUP, 1, PrimaryEpoch("s1", 1, 4)))
        version = str(self.voter.state.version)
        known = {QUERY_EPOCHS: "1", QUERY_ALL_EPOCHS: "0", "after": version}
        self.assertIsNone(self.call(PATH_WATCH, **known).body["view"])
        lacking = {**known, QUERY_ALL_EPOCHS: "1"}
        for query in (lacking, {**lacking, "confirmed": "1"}):
            view = self.call(PATH_WATCH, **query).body["view"]
            self.assertEqual(view["base_version"], view["version"])
            self.assertEqual(view["groups"][0]["epoch"]["term"], 4)
            self.assertEqual((view["servers"], view["proxies"]), ([], []))
        self.voter.node.commit(RegisterProxy("p2", "i1", "fd1", Address("h", 1)))
        changed = self.call(PATH_WATCH, **known).body["view"]
        self.assertEqual((changed["epochs"], changed["groups"]), ("included", []))
        both = self.call(PATH_WATCH, **lacking).body["view"]
        self.assertEqual((both["epochs"], len(both["groups"])), ("all", 1))
        self.assertEqual(len(both["proxies"]), 1)

    def test_epochs_of_a_state_behind_the_proxy_are_not_sent(self) -> None:
        """Guard against a voter that is behind and answers all polls at once."""
        ahead = str(self.voter.state.version + 1)
        query = {QUERY_EPOCHS: "1", QUERY_ALL_EPOCHS: "1", "after": ahead}
        self.assertIsNone(self.call(PATH_WATCH, **query).body["view"])

    def test_document_is_named_only_on_request(self) -> None:
        """Guard against proxies of an earlier build that reject the view."""
        self.voter.node.commit(ApplyDocument(7, pack(Document({}, ())), "operator"))
        asked = self.call(PATH_WATCH, document="1").body["view"]
        self.assertEqual(7, asked["revision"])
        self.assertEqual(endpoints_digest([]), asked["digest"])
        not_asked = self.call(PATH_WATCH).body["view"]
        self.assertNotIn("revision", not_asked)
        self.assertNotIn("digest", not_asked)

    def test_age_of_the_document_is_sent_only_on_request(self) -> None:
        """Guard against proxies of an earlier build that reject the view."""
        asked = self.call(PATH_WATCH, document_age="1").body["view"]
        self.assertNotIn("document_age_ms", asked)
        self.voter.node.commit(ApplyDocument(7, pack(Document({}, ())), "operator"))
        self.clock.advance(1.5)
        self.voter.node.commit(RegisterProxy("p2", "i1", "fd1", Address("h", 1)))
        asked = self.call(PATH_WATCH, document_age="1").body["view"]
        self.assertEqual(1_500, asked["document_age_ms"])
        self.assertNotIn("document_age_ms", self.call(PATH_WATCH).body["view"])

    def test_confirmed_reads_need_no_slot_of_polls_that_wait(self) -> None:
        """Guard against proxies that get no confirmation beside many others."""
        with contextlib.ExitStack() as taken:
            for _ in range(MAX_WATCHERS):
                taken.enter_context(self.slots.taken())
            answer = self.call(PATH_WATCH, confirmed="1", after="0", wait_ms="0").body
        self.assertEqual(0, answer["retry_after_ms"])
        self.assertIsNotNone(answer["view"])

    def test_confirmed_reads_do_not_delay_polls(self) -> None:
        """Guard against confirmations that take the place of polls."""
        slots = self.watch._reads.slots
        with contextlib.ExitStack() as taken:
            for _ in range(MAX_CONFIRMED_READS):
                taken.enter_context(slots.taken())
            for _ in range(100):
                self.call(PATH_WATCH, confirmed="1", after="1", wait_ms="0")
        self.assertEqual(MIN_POLL_RETRY_SECONDS, self.watch._retries.next_delay())

    def test_follower_responds_with_the_leader(self) -> None:
        self.voter.stop_leading()
        response = self.renew("p1")
        self.assertEqual((response.status, response.body["error"]), (421, "not_leader"))

    def test_renewals_are_rate_limited_per_proxy(self) -> None:
        statuses = [self.renew("p1").status for _ in range(60)]
        self.assertEqual(statuses.count(429), 20)
        self.assertEqual(self.renew("p3").status, 200)
        self.clock.advance(1.0)
        self.assertEqual(self.renew("p1").status, 200)

    def test_concurrent_change_conflicts_and_a_resend_does_not(self) -> None:
        """Two operators change one node; the first loses the response and resends."""
        first = self.change("c1", 0, deadline_ms=900)
        self.assertEqual(first.status, 200)
        self.assertEqual(self.change("c2", 0, deadline_ms=700).status, 409)
        self.assertEqual(self.change("c1", 0, deadline_ms=900), first)
        self.assertEqual(self.change("c3", 1, deadline_ms=-1).status, 400)

    def test_change_with_an_unknown_outcome_can_be_resent(self) -> None:
        propose = self.voter.log_node.propose

        def lose_response(command: dict[str, Any], timeout: float) -> dict[str, Any]:
            propose(command, timeout)
            raise OutcomeUnknownError("no response")

        self.voter.log_node.propose = lose_response  # type: ignore[method-assign]
        response = self.change("c1", 0, deadline_ms=900)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.body["error"], "outcome_unknown")
        self.voter.log_node.propose = propose  # type: ignore[method-assign]
        self.assertEqual(self.change("c1", 0, deadline_ms=900).body["version"], 1)
        self.assertEqual(self.voter.state.settings.root.deadline_ms, 900)

    def test_cut_off_voter_confirms_no_view(self) -> None:
        """A restarted proxy polls a voter that has been cut off for hours.

        The outdated state of the voter must not become the proxy's first view.
        """

        def refuse(timeout: float) -> int:
            raise NotConfirmedError("no quorum")

        self.voter.log_node.confirm_read = refuse  # type: ignore[method-assign]
        self.assertEqual(self.call(PATH_WATCH, confirmed="1").status, 503)
        self.assertEqual(self.call(PATH_WATCH).status, 200)

    def test_long_poll_returns_the_next_change(self) -> None:
        version = self.voter.state.version
        responses: list[JsonResponse] = []

        def poll() -> None:
            query = {"after": str(version), "wait_ms": "20000"}
            responses.append(self.call(PATH_WATCH, **query))

        pollers = [threading.Thread(target=poll) for _ in range(MAX_WATCHERS + 3)]
        for poller in pollers:
            poller.start()
        # Polls beyond the slots are answered at once and without a view.
        deadline = time.monotonic() + 10
        while len(responses) < 3 and time.monotonic() < deadline:
            time.sleep(0.001)
        self.change("c1", 0, deadline_ms=900)
        self.assertEqual(
            [response.body["view"] for response in responses[:3]], [None] * 3
        )
        for poller in pollers:
            poller.join(10)
        versions = [response.body["view"]["version"] for response in responses[3:]]
        self.assertEqual(versions, [version + 1] * MAX_WATCHERS)

    def test_promotion_is_rejected_or_begun_once(self) -> None:
        body: dict[str, Any] = {"change_id": "c1", "group": GROUP, "candidate": "s2"}
        self.assertEqual(self.call(PATH_PROMOTE, body).status, 409)
        body = {"change_id": "c2", "group": GROUP, "candidate": None}
        first = self.call(PATH_PROMOTE, body)
        self.assertEqual(first.body["term"], 2)
        self.assertEqual(self.call(PATH_PROMOTE, body).body["term"], 2)
        other = {"change_id": "c3", "group": GROUP, "candidate": None}
        self.assertEqual(self.call(PATH_PROMOTE, other).status, 409)
