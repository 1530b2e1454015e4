"""Tests of how an owner reports errors of requests that it has read."""

import unittest

from dogwoodspool_common import JsonRequest, Role, Route
from dogwoodspool_common.const import CODE_BAD_REQUEST
from dogwoodspool_common.routes import answer
from dogwoodspool_pooler import Reply, Statement, StatementKind
from dogwoodspool_pooler.requests import Request
from dogwoodspool_pooler.shared.caller_check import CallerCheck
from dogwoodspool_pooler.shared.const import PATH_STATEMENT
from dogwoodspool_pooler.shared.messages import StatementRequest
from dogwoodspool_pooler.shared.slots import WorkSlots
from dogwoodspool_pooler.shared.statement_api import StatementApi

from ..fakes import FakeServer, Pooler, endpoint


class _InvalidReplies:
    def run(self, request: Request) -> Reply:
        StatementRequest.model_validate({})
        raise AssertionError("validation passed")


class OwnerErrorTests(unittest.TestCase):
    """Only a message that was not read is a bad request."""

    def test_an_invalid_reply_is_no_bad_request(self) -> None:
        """Guard against a write that ran and is sent to the next owner."""
        pooler = Pooler([FakeServer("s1", Role.PRIMARY)])
        callers = CallerCheck(pooler.views, pooler.control)
        api = StatementApi(
            pooler.views, callers, _InvalidReplies(), WorkSlots(1), pooler.clock
        )
        statement = Statement(StatementKind.WRITE, "r1", "WRITE k v")
        now = pooler.clock.now()
        request = Request(endpoint(), statement, {}, None, None, now)
        body = StatementRequest.of(request, now).model_dump(mode="json")
        (route,) = (one for one in api.routes() if one.path == PATH_STATEMENT)
        self.assertEqual(self.code(route, body), "OwnerFailedError")
        self.assertEqual(self.code(route, {}), CODE_BAD_REQUEST)

    @staticmethod
    def code(route: Route, body: dict[str, object]) -> object:
        return answer(route, JsonRequest(route.path, {}, body), None).body["error"]
