"""Tests of session tokens."""

import unittest

from dogwoodspool_common import Position
from dogwoodspool_sessions import (
    SessionTokenError,
    TokenCodec,
    TokenMalformedError,
    TokenSignatureError,
)
from hypothesis import given, settings
from hypothesis import strategies as st

POSITIONS = st.dictionaries(
    st.text("abcdefgh-0123456789", min_size=1, max_size=16),
    st.builds(Position, st.integers(0, 2**31), st.integers(0, 2**53)),
    max_size=8,
)
CODEC = TokenCodec(b"k" * 32)


class TokenCodecTests(unittest.TestCase):
    """A token is decoded to the encoded positions or refused."""

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(POSITIONS)
    def test_decoding_returns_the_positions(
        self, positions: dict[str, Position]
    ) -> None:
        self.assertEqual(CODEC.decode(CODEC.encode(positions)), positions)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(POSITIONS, st.integers(0, 200))
    def test_a_truncated_token_is_refused(
        self, positions: dict[str, Position], length: int
    ) -> None:
        token = CODEC.encode(positions)
        with self.assertRaises((TokenMalformedError, TokenSignatureError)):
            CODEC.decode(token[: min(length, len(token) - 1)])

    def test_a_token_of_another_key_is_refused(self) -> None:
        token = TokenCodec(b"x" * 32).encode({"orders": Position(1, 1)})
        with self.assertRaises(TokenSignatureError):
            CODEC.decode(token)

    def test_text_that_is_not_a_token_is_refused(self) -> None:
        for text in ("", ".", "no token", "é.é", "a" * 10_000):
            with self.subTest(text[:10]), self.assertRaises(SessionTokenError):
                CODEC.decode(text)
