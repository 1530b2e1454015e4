"""Tests of the text protocol's words."""

import unittest

from dogwoodspool_common import Position
from dogwoodspool_platform.words import (
    BadWordsError,
    ReplyDecoder,
    decode_query,
    decode_startup,
    encode_answer,
    encode_statements,
)
from dogwoodspool_pooler import (
    Access,
    Answer,
    ErrorCode,
    Statement,
    StatementError,
    StatementKind,
    TransactionState,
)
from hypothesis import given, settings
from hypothesis import strategies as st


class DecodeQueryTests(unittest.TestCase):
    """Callers' words become statements, and nonsense is refused."""

    def test_each_statement_is_told_apart(self) -> None:
        kinds = {
            "READ 1a4": StatementKind.READ,
            "WRITE 1a4 some data": StatementKind.WRITE,
            "BEGIN": StatementKind.BEGIN,
            "BEGIN READ": StatementKind.BEGIN_READ_ONLY,
            "COMMIT": StatementKind.COMMIT,
            "ROLLBACK": StatementKind.ROLLBACK,
            "SET tz utc plus one": StatementKind.SET,
            "PREPARE s1 WRITE q2c": StatementKind.PREPARE,
            "EXECUTE s1 1a4 data": StatementKind.EXECUTE,
            "DEALLOC s1": StatementKind.DEALLOCATE,
        }
        for text, kind in kinds.items():
            self.assertIs(decode_query(f"QUERY id {text}").kind, kind, text)

    def test_values_keep_their_blanks(self) -> None:
        self.assertEqual(decode_query("QUERY id SET a b c").argument, "b c")

    def test_a_prepared_write_is_known_as_one(self) -> None:
        statement = decode_query("QUERY id PREPARE s1 WRITE q2c")
        self.assertIs(statement.access, Access.WRITE)

    def test_nonsense_is_refused(self) -> None:
        for line in (
            "",
            "QUERY",
            "QUERY id",
            "QUERY  READ a",
            "QUERY - READ a",
            "QUERY id READ",
            "QUERY id WRITE a",
            "QUERY id BEGIN WRITE",
            "QUERY id PREPARE s1 DROP q",
            "QUERY id WAITLSN 1.2 READ a",
            "QUERY id DROP a",
            "read a",
        ):
            with self.assertRaises(BadWordsError, msg=line):
                decode_query(line)

    @given(st.text(max_size=40))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_any_text_is_decoded_or_refused(self, text: str) -> None:
        for line in (text, f"QUERY {text}", f"QUERY id {text}"):
            try:
                decode_query(line)
            except BadWordsError:
                continue

    def test_a_startup_names_a_database(self) -> None:
        self.assertEqual(decode_startup("STARTUP lepu270 u3f1"), "lepu270")
        with self.assertRaises(BadWordsError):
            decode_startup("HELLO lepu270")


class EncodeTests(unittest.TestCase):
    """Statements reach servers, and answers callers, in the right words."""

    def test_a_callers_text_is_not_changed(self) -> None:
        text = "WRITE 1a4 some  data"
        sent = encode_statements([decode_query(f"QUERY id {text}")])
        self.assertEqual(sent, f"QUERY id {text}\r\n".encode())

    def test_a_position_comes_before_the_text(self) -> None:
        statement = Statement(
            StatementKind.READ, "id", "READ a", wait_for=Position(3, 1207)
        )
        sent = encode_statements([statement])
        self.assertEqual(sent, b"QUERY id WAITLSN 3.1207 READ a\r\n")

    def test_an_answer_ends_with_where_the_session_stands(self) -> None:
        answer = Answer(TransactionState.OPEN, ("r1", "r2"), "7.1f3")
        self.assertEqual(
            encode_answer(answer),
            b"DATAROW r1\r\nDATAROW r2\r\nCOMPLETE 7.1f3\r\nREADY T -\r\n",
        )

    def test_a_refusal_says_when_to_come_back(self) -> None:
        error = StatementError(ErrorCode.BUSY, "full", 300)
        sent = encode_answer(Answer(TransactionState.IDLE, error=error))
        self.assertEqual(sent, b"ERROR BUSY full; retry after 300 ms\r\nREADY I -\r\n")


class ReplyDecoderTests(unittest.TestCase):
    """A reply is whole or none."""

    def test_rows_proof_and_position_are_taken(self) -> None:
        decoder = ReplyDecoder()
        self.assertIsNone(decoder.take("DATAROW a b"))
        self.assertIsNone(decoder.take("COMPLETE p"))
        reply = decoder.take("READY I 3.1209")
        assert reply is not None
        self.assertEqual((reply.rows, reply.proof), (("a b",), "p"))
        self.assertEqual(reply.position, Position(3, 1209))

    def test_a_reply_without_its_end_is_refused(self) -> None:
        with self.assertRaises(BadWordsError):
            ReplyDecoder().take("READY I 3.1209")

    def test_an_unknown_code_promises_nothing(self) -> None:
        decoder = ReplyDecoder()
        decoder.take("ERROR NOVELTY what")
        reply = decoder.take("READY I 1.1")
        assert reply is not None and reply.error is not None
        self.assertFalse(reply.error.code.is_not_run)
