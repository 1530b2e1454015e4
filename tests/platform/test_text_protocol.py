"""Tests of encoding and decoding the text protocol."""

import unittest

from dogwoodspool_common import Position
from dogwoodspool_platform.text_protocol import (
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
    """Queries are decoded to statements, and malformed ones are rejected."""

    def test_each_kind_of_statement_is_recognized(self) -> None:
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

    def test_spaces_in_values_are_preserved(self) -> None:
        self.assertEqual(decode_query("QUERY id SET a b c").argument, "b c")

    def test_prepared_write_has_write_access(self) -> None:
        statement = decode_query("QUERY id PREPARE s1 WRITE q2c")
        self.assertIs(statement.access, Access.WRITE)

    def test_malformed_queries_are_rejected(self) -> None:
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
    def test_any_text_is_decoded_or_rejected(self, text: str) -> None:
        for line in (text, f"QUERY {text}", f"QUERY id {text}"):
            try:
                decode_query(line)
            except BadWordsError:
                continue

    def test_startup_returns_the_database(self) -> None:
        message = decode_startup("STARTUP lepu270 u3f1")
        self.assertEqual((message.database, message.key), ("lepu270", "u3f1"))
        with self.assertRaises(BadWordsError):
            decode_startup("HELLO lepu270")


class EncodeTests(unittest.TestCase):
    """Statements and answers are encoded as the protocol requires."""

    def test_statement_text_is_forwarded_unchanged(self) -> None:
        text = "WRITE 1a4 some  data"
        sent = encode_statements([decode_query(f"QUERY id {text}")])
        self.assertEqual(sent, f"QUERY id {text}\r\n".encode())

    def test_wait_for_position_precedes_the_text(self) -> None:
        statement = Statement(
            StatementKind.READ, "id", "READ a", wait_for=Position(3, 1207)
        )
        sent = encode_statements([statement])
        self.assertEqual(sent, b"QUERY id WAITLSN 3.1207 READ a\r\n")

    def test_answer_ends_with_the_transaction_state(self) -> None:
        answer = Answer(TransactionState.OPEN, ("r1", "r2"), "7.1f3")
        self.assertEqual(
            encode_answer(answer),
            b"DATAROW r1\r\nDATAROW r2\r\nCOMPLETE 7.1f3\r\nREADY T -\r\n",
        )

    def test_busy_error_contains_the_retry_delay(self) -> None:
        error = StatementError(ErrorCode.BUSY, "full", 300)
        sent = encode_answer(Answer(TransactionState.IDLE, error=error))
        self.assertEqual(sent, b"ERROR BUSY full; retry after 300 ms\r\nREADY I -\r\n")


class ReplyDecoderTests(unittest.TestCase):
    """A reply is returned only when complete."""

    def test_rows_proof_and_position_are_decoded(self) -> None:
        decoder = ReplyDecoder()
        self.assertIsNone(decoder.feed("DATAROW a b"))
        self.assertIsNone(decoder.feed("COMPLETE p"))
        reply = decoder.feed("READY I 3.1209")
        assert reply is not None
        self.assertEqual((reply.rows, reply.proof), (("a b",), "p"))
        self.assertEqual(reply.position, Position(3, 1209))

    def test_ready_without_an_answer_is_rejected(self) -> None:
        with self.assertRaises(BadWordsError):
            ReplyDecoder().feed("READY I 3.1209")

    def test_unknown_error_code_may_have_run(self) -> None:
        decoder = ReplyDecoder()
        decoder.feed("ERROR NOVELTY what")
        reply = decoder.feed("READY I 1.1")
        assert reply is not None and reply.error is not None
        self.assertFalse(reply.error.code.is_not_run)
