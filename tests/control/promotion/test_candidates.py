"""Tests of the choice of a new primary."""

import unittest
from dataclasses import dataclass

from dogwoodspool_common import BackendServer, Position, Role, ServerStatus
from dogwoodspool_control.models import AcknowledgedWrites, Promotion, PromotionReason
from dogwoodspool_control.promotion.candidates import ChoiceInput, choose_candidate
from expression import Result

from ..fakes import GROUP, server

FAILED = Promotion(GROUP, 3, 2, "s1", PromotionReason.FAILED)
PLANNED = Promotion(GROUP, 3, 2, "s1", PromotionReason.PLANNED, candidate="s2")
STARTS = (Position(2, 10),)
ALL_KNOWN = AcknowledgedWrites(
    (Position(2, 20),), is_complete=True, is_replicated=False
)
REPLICATED = AcknowledgedWrites((), is_complete=False, is_replicated=True)
POSSIBLY_UNREPLICATED = AcknowledgedWrites((), is_complete=False, is_replicated=False)


@dataclass(frozen=True)
class Case:
    """One row: the answers by server and the expected choice."""

    name: str
    acks: AcknowledgedWrites
    answers: dict[str, Position]
    chosen: str | None
    promotion: Promotion = FAILED
    keeps_primary: bool = False
    must_catch_up: bool = False


CASES = (
    Case(
        "the most advanced of all replicas has every replicated write",
        REPLICATED,
        {"s2": Position(2, 20), "s3": Position(2, 21)},
        "s3",
    ),
    Case(
        "a silent replica may be the only one with an acknowledged write",
        REPLICATED,
        {"s2": Position(2, 20)},
        None,
    ),
    Case(
        "an acknowledged position beyond all replicas",
        AcknowledgedWrites((Position(2, 30),), is_complete=False, is_replicated=True),
        {"s2": Position(2, 20), "s3": Position(2, 21)},
        None,
    ),
    Case(
        "all acknowledged positions known: one covering replica is enough",
        ALL_KNOWN,
        {"s2": Position(2, 20)},
        "s2",
    ),
    Case(
        "all acknowledged positions known, none covers them",
        ALL_KNOWN,
        {"s2": Position(2, 19), "s3": Position(2, 18)},
        None,
    ),
    Case(
        "primary acknowledges alone and positions are unknown: wait for it",
        POSSIBLY_UNREPLICATED,
        {"s2": Position(2, 99), "s3": Position(2, 99)},
        None,
    ),
    Case(
        "a replica that reached the old primary's position after the release",
        POSSIBLY_UNREPLICATED,
        {"s1": Position(2, 25), "s2": Position(2, 24), "s3": Position(2, 25)},
        "s3",
    ),
    Case(
        "only the old primary has everything",
        POSSIBLY_UNREPLICATED,
        {"s1": Position(2, 25), "s2": Position(2, 24), "s3": Position(2, 23)},
        "s1",
        keeps_primary=True,
    ),
    Case(
        "the old primary is not chosen while proxies cannot reach it",
        POSSIBLY_UNREPLICATED,
        {"s1": Position(2, 25), "s2": Position(2, 24), "s3": Position(2, 23)},
        None,
    ),
    Case(
        "an old primary that lost an acknowledged write",
        ALL_KNOWN,
        {"s1": Position(2, 19)},
        None,
        keeps_primary=True,
    ),
    Case(
        "a replica with entries past the branch of an earlier promotion",
        REPLICATED,
        {"s2": Position(1, 12), "s3": Position(2, 11)},
        "s3",
    ),
    Case(
        "the most advanced replica holds discarded entries and cannot be promoted",
        REPLICATED,
        {"s2": Position(1, 12), "s3": Position(2, 9)},
        None,
    ),
    Case(
        "a server at a term that was begun and abandoned",
        ALL_KNOWN,
        {"s2": Position(3, 22), "s3": Position(2, 21)},
        "s2",
    ),
    Case(
        "planned: the requested replica has not caught up yet",
        REPLICATED,
        {"s1": Position(2, 25), "s2": Position(2, 24), "s3": Position(2, 25)},
        None,
        PLANNED,
        keeps_primary=True,
        must_catch_up=True,
    ),
    Case(
        "planned: the requested replica has caught up",
        REPLICATED,
        {"s1": Position(2, 25), "s2": Position(2, 25), "s3": Position(2, 25)},
        "s2",
        PLANNED,
        keeps_primary=True,
        must_catch_up=True,
    ),
    Case(
        "planned: reverted to the old primary",
        REPLICATED,
        {"s1": Position(2, 25), "s2": Position(2, 24), "s3": Position(2, 23)},
        "s1",
        PLANNED,
        keeps_primary=True,
    ),
    Case("no server answers", REPLICATED, {}, None),
)


class ChooseCandidateTests(unittest.TestCase):
    """Choices of a new primary, by table and by preference."""

    def test_choices(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                self.assertEqual(_chosen(case), case.chosen)

    def test_a_leaving_replica_is_the_last_choice(self) -> None:
        servers = [server("s1"), server("s2", is_leaving=True), server("s3")]
        answers = {"s2": Position(2, 25), "s3": Position(2, 21)}
        case = Case("leaving", ALL_KNOWN, answers, "s3")
        self.assertEqual(_chosen(case, servers), "s3")


def _chosen(case: Case, servers: list[BackendServer] | None = None) -> str | None:
    statuses = {
        name: ServerStatus(name, Role.REPLICA, position, 0.0, False)
        for name, position in case.answers.items()
    }
    given = ChoiceInput(
        promotion=case.promotion,
        servers=servers or [server("s1"), server("s2"), server("s3")],
        statuses=statuses,
        acks=case.acks,
        term_starts=STARTS,
        may_keep_primary=case.keeps_primary,
        must_catch_up=case.must_catch_up,
    )
    match choose_candidate(given):
        case Result(tag="ok", ok=choice):
            return choice.server
        case _:
            return None
