"""Tests of per-request properties."""

import unittest

from dogwoodspool_gateway.errors import BadRequestPropertyError
from dogwoodspool_gateway.prepared import interpolate
from dogwoodspool_gateway.properties import parse_properties, split_comment


class SplitCommentTests(unittest.TestCase):
    """Only an sqlcommenter comment at an end of the statement is taken off."""

    def test_leading_and_trailing_comments(self) -> None:
        expected = ("SELECT 1", {"max_age_ms": "500", "request_id": "a-1"})
        for sql in (
            "/*max_age_ms='500',request_id='a%2D1'*/ SELECT 1",
            "SELECT 1 /* max_age_ms='500' , request_id='a-1' */;",
        ):
            with self.subTest(sql):
                self.assertEqual(split_comment(sql), expected)

    def test_other_comments_and_strings_stay(self) -> None:
        for sql in (
            "SELECT '/*max_age_ms=1*/'",
            "SELECT /*+ hint */ 1",
            "/*x*/ SELECT",
        ):
            with self.subTest(sql):
                self.assertEqual(split_comment(sql), (sql, {}))


class ParsePropertiesTests(unittest.TestCase):
    """A known name with a useless value is an error, an unknown name is not."""

    def test_values(self) -> None:
        read = parse_properties({"idempotent": "TRUE", "deadline_ms": 800, "app": "x"})
        self.assertIs(read.idempotent, True)
        self.assertEqual(read.deadline_ms, 800)

    def test_useless_values_are_refused(self) -> None:
        for name, value in (
            ("max_age_ms", "soon"),
            ("max_age_ms", "-1"),
            ("deadline_ms", "٣"),
            ("idempotent", "perhaps"),
            ("request_id", ""),
            ("request_id", "a'b"),
            ("request_id", "x" * 65),
        ):
            with (
                self.subTest(name=name, value=value),
                self.assertRaisesRegex(BadRequestPropertyError, name),
            ):
                parse_properties({name: value})


class InterpolateTests(unittest.TestCase):
    """A parameter never changes the statement around it."""

    def test_quotes_backslashes_and_question_marks(self) -> None:
        # With the gateway library's own interpolation the quote below ends the
        # string and the question mark takes the next value.
        sql = interpolate("INSERT INTO t VALUES (?, '?', ?)", ["it's ? \\", 5])
        self.assertEqual(sql, "INSERT INTO t VALUES ('it\\'s ? \\\\', '?', 5)")
