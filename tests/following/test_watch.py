"""Tests of the polls for control's committed state."""

import unittest
from typing import Any, cast

from dogwoodspool_api import ControlView, MemberMessage, WatchResponse
from dogwoodspool_api.const import QUERY_EPOCHS, QUERY_RETIRED, QUERY_VOTERS
from dogwoodspool_common import Address, JsonClient, ManualClock
from dogwoodspool_following import ControlPeers, ViewStore, WatchCoordinator

FIRST, SECOND = Address("127.0.0.1", 1), Address("127.0.0.1", 2)


def view(version: int) -> ControlView:
    """Return an empty view of a version."""
    return ControlView(version=version, groups=[], servers=[], proxies=[], settings=[])


class FakeControl:
    """Fake control processes, each with the newest version that it knows."""

    def __init__(self) -> None:
        self.versions = {FIRST: 5, SECOND: 5}
        self.asked: list[tuple[Address, bool]] = []
        self.waits: list[int] = []
        self.queries: list[dict[str, str]] = []
        self.behind: set[Address] = set()
        self.full: set[Address] = set()

    def get(
        self, address: Address, _path: str, query: dict[str, str], _timeout: float
    ) -> dict[str, Any]:
        """Answer a poll at once, as if its wait had ended."""
        self.asked.append((address, query.get("confirmed") == "1"))
        self.waits.append(int(query["wait_ms"]))
        self.queries.append(query)
        version = self.versions[address]
        newer = view(version) if version > int(query["after"]) else None
        is_current = address not in self.behind
        answer = WatchResponse(
            view=newer,
            leader=None,
            is_current=is_current,
            retry_after_ms=700 if address in self.full else 0,
        )
        return answer.model_dump(mode="json")


class WatchCoordinatorTests(unittest.TestCase):
    """New versions are taken from any current process, and never decrease."""

    def setUp(self) -> None:
        self.clock = clock = ManualClock()
        self.control = FakeControl()
        self.views = ViewStore("fd-a", clock)
        self.watch = WatchCoordinator(
            self.views,
            ControlPeers((FIRST, SECOND)),
            cast(JsonClient, self.control),
            clock,
        )

    def test_only_the_first_view_must_be_confirmed(self) -> None:
        self.watch.step()
        self.watch.step()
        self.assertEqual(self.control.asked, [(FIRST, True), (FIRST, False)])

    def test_age_counts_from_the_last_answer_of_a_current_process(self) -> None:
        self.assertIsNone(self.views.age_ms)
        self.watch.step()
        self.control.behind = {FIRST, SECOND}
        self.clock.advance(0.25)
        self.watch.step()
        self.assertEqual(self.views.age_ms, 250)
        self.assertEqual(self.views.confirmed_by, FIRST)

    def test_cut_off_control_process_is_abandoned(self) -> None:
        # A partition isolates one control instance, which does not notice. A proxy that
        # still reaches it would poll it without getting newer views while changes are
        # accepted elsewhere, and would apply old settings for hours.
        self.watch.step()
        self.control.versions[SECOND] = 6
        self.views.record_announced(6)
        self.watch.step()
        self.watch.step()
        self.assertEqual(self.views.view.version, 6)

    def test_older_view_is_ignored(self) -> None:
        # The isolated instance returns and considers its old state current.
        self.watch.step()
        self.assertFalse(self.views.adopt(view(4)))
        self.assertEqual(self.views.view.version, 5)

    def test_process_without_leader_contact_is_abandoned(self) -> None:
        # The preferred control process is cut off from the others and reports it.
        # Changes that are accepted elsewhere would not arrive here.
        self.watch.step()
        self.control.behind.add(FIRST)
        self.watch.step()
        self.watch.step()
        self.assertEqual(self.control.asked[-1][0], SECOND)

    def test_polls_ask_for_the_votes_of_members(self) -> None:
        """Guard against asking lost members first because no vote is announced."""
        self.watch.step()
        self.assertEqual(self.control.queries[-1].get(QUERY_VOTERS), "1")

    def test_polls_ask_for_epochs(self) -> None:
        """Guard against proxies that never learn which leads are recorded."""
        self.watch.step()
        self.assertEqual(self.control.queries[-1].get(QUERY_EPOCHS), "1")

    def test_polls_ask_for_retirements(self) -> None:
        """Guard against proxies that count the grace period by themselves."""
        self.watch.step()
        self.assertEqual(self.control.queries[-1].get(QUERY_RETIRED), "1")

    def test_one_round_of_polls_without_a_wait_follows_one_without_a_result(
        self,
    ) -> None:
        """Guard against late changes, and against a crowd of polls in an election."""
        self.watch.step()
        self.control.behind = {FIRST, SECOND}
        pauses = []
        for _ in range(3):
            pauses += [self.watch.step() for _ in range(2)]
            self.clock.advance(0.6)
        self.assertEqual(self.control.waits[1:], [2_000, 0, 2_000, 2_000, 2_000, 0])
        self.assertEqual(
            [pause > 0 for pause in pauses], [False, True, True, True, False, True]
        )

    def test_poll_that_could_not_wait_is_repeated_after_the_stated_time(self) -> None:
        """Guard against polls without a pause at a process that cannot hold them."""
        self.control.full.add(FIRST)
        self.assertEqual(self.watch.step(), 0.0)
        self.assertEqual(self.views.view.version, 5)
        self.assertEqual(self.watch.step(), 0.7)

    def test_preferred_process_is_tried_again(self) -> None:
        self.watch.step()
        self.control.behind.add(FIRST)
        self.watch.step()
        self.control.behind.clear()
        for _ in range(6):
            self.watch.step()
        self.assertEqual(self.control.asked[-1][0], FIRST)


class ControlPeersTests(unittest.TestCase):
    """Control processes are found even after all known ones were replaced."""

    def test_members_replace_the_initial_addresses(self) -> None:
        peers = ControlPeers((FIRST,), "fd2")
        members = [
            MemberMessage(address="10.0.0.7:1", failure_domain="fd1"),
            MemberMessage(address="10.0.0.8:1", failure_domain="fd2"),
        ]
        peers.adopt(members)
        self.assertEqual(str(peers.any()), "10.0.0.8:1")
        peers.record_failure(peers.any())
        self.assertEqual(str(peers.any()), "10.0.0.7:1")
