"""Tests of request properties and of parameter interpolation."""

import unittest

from dogwoodspool_gateway.errors import BadRequestPropertyError
from dogwoodspool_gateway.prepared import interpolate
from dogwoodspool_gateway.properties import parse_properties, split_comment


class SplitCommentTests(unittest.TestCase):
    """Removal of sqlcommenter comments at the start or end of a statement."""

    def test_leading_and_trailing_comments(self) -> None:
        expected = ("SELECT 1", {"max_age_ms": "500", "request_id": "a-1"})
        for sql in (
            "/*max_age_ms='500',request_id='a%2D1'*/ SELECT 1",
            "SELECT 1 /* max_age_ms='500' , request_id='a-1' */;",
        ):
            with self.subTest(sql):
                self.assertEqual(split_comment(sql), expected)

    def test_other_comments_and_strings_are_kept(self) -> None:
        for sql in (
            "SELECT '/*max_age_ms=1*/'",
            "SELECT /*+ hint */ 1",
            "/*x*/ SELECT",
        ):
            with self.subTest(sql):
                self.assertEqual(split_comment(sql), (sql, {}))


class ParsePropertiesTests(unittest.TestCase):
    """Validation of known properties; unknown names are ignored."""

    def test_values(self) -> None:
        properties = parse_properties(
            {"idempotent": "TRUE", "deadline_ms": 800, "app": "x"}
        )
        self.assertIs(properties.idempotent, True)
        self.assertEqual(properties.deadline_ms, 800)

    def test_invalid_values_are_rejected(self) -> None:
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
    """Guard against parameters that change the statement (SQL injection)."""

    def test_quotes_backslashes_and_question_marks(self) -> None:
        # With the protocol library's own interpolation, the quote below would end the
        # string and the question mark would be replaced by the next value.
        sql = interpolate("INSERT INTO t VALUES (?, '?', ?)", ["it's ? \\", 5])
        self.assertEqual(sql, "INSERT INTO t VALUES ('it\\'s ? \\\\', '?', 5)")
