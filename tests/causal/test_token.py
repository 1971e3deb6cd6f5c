"""Tests of the join and encoding of tokens, and of epoch histories."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.causal import EMPTY_TOKEN, MAX_ENTRIES, History, Keyring, SigningKey, Token, TokenError
from juniperreel.causal.codec import MAC_BYTES, MAX_BYTES
from juniperreel.causal.token import MAX_EPOCH, MAX_GROUP, MAX_POSITION

OLD_KEY = SigningKey(1, b"o" * 32)
NEW_KEY = SigningKey(2, b"n" * 32)
KEYRING = Keyring([NEW_KEY, OLD_KEY])

keys = st.tuples(st.integers(0, 40), st.integers(0, 3))
entries = st.dictionaries(keys, st.integers(0, 60), max_size=120)
tokens = st.builds(Token.from_entries, entries, st.integers(0, 10))
wide_tokens = st.builds(
    Token.from_entries,
    st.dictionaries(
        st.tuples(st.integers(0, MAX_GROUP), st.integers(0, MAX_EPOCH)),
        st.integers(0, MAX_POSITION),
        max_size=80,
    ),
    st.integers(0, MAX_POSITION),
)


@given(tokens, tokens, tokens)
def test_join_is_commutative_idempotent_and_associative(a: Token, b: Token, c: Token) -> None:
    assert a.join(b) == b.join(a)
    assert a.join(a) == a
    assert a.join(b).join(c) == a.join(b.join(c)) == a.join(b, c)
    assert a.join(EMPTY_TOKEN) == a


@given(tokens, tokens)
def test_join_requires_all_that_its_operands_require(a: Token, b: Token) -> None:
    joined = a.join(b)
    assert len(joined.entries) <= MAX_ENTRIES
    for token in (a, b):
        assert joined.floor >= token.floor
        for key, position in token.entries.items():
            assert max(joined.entries.get(key, 0), joined.floor) >= position


@given(wide_tokens)
def test_decode_returns_the_encoded_token(token: Token) -> None:
    data = KEYRING.encode(token)
    assert len(data) <= MAX_BYTES
    assert KEYRING.decode(data) == token
    assert KEYRING.decode_text(KEYRING.encode_text(token)) == token


@given(wide_tokens, st.data())
def test_decode_of_a_modified_token_raises(token: Token, data: st.DataObject) -> None:
    encoded = bytearray(KEYRING.encode(token))
    index = data.draw(st.integers(0, len(encoded) - 1))
    encoded[index] ^= data.draw(st.integers(1, 255))
    with pytest.raises(TokenError):
        KEYRING.decode(bytes(encoded))


@given(st.binary(max_size=2000))
def test_decode_of_unsigned_random_data_raises(random_data: bytes) -> None:
    with pytest.raises(TokenError):
        KEYRING.decode(random_data)


@given(st.binary(min_size=1, max_size=60))
def test_decode_of_signed_random_data_raises_or_returns_a_valid_token(body: bytes) -> None:
    signed = bytes((1, 2)) + body
    try:
        token = KEYRING.decode(signed + KEYRING._mac(2, signed))
    except TokenError:
        return
    assert KEYRING.decode(KEYRING.encode(token)) == token


@pytest.mark.parametrize("data", [b"", b"\x01", b"\x01\x02" + bytes(MAC_BYTES), bytes(1 << 20)])
def test_decode_of_empty_truncated_or_oversized_input_raises(data: bytes) -> None:
    with pytest.raises(TokenError):
        KEYRING.decode(data)
    with pytest.raises(TokenError):
        KEYRING.decode_text("A" * (1 << 20))
    with pytest.raises(TokenError):
        KEYRING.decode_text("ü")


def test_tokens_remain_valid_during_key_rotation() -> None:
    token = Token.for_position(3, 1, 99)
    before = Keyring([OLD_KEY])
    both = Keyring([OLD_KEY, NEW_KEY])
    after = Keyring([NEW_KEY, OLD_KEY])
    assert both.decode(before.encode(token)) == token
    assert before.decode(both.encode(token)) == token
    assert both.decode(after.encode(token)) == token
    with pytest.raises(TokenError):
        Keyring([NEW_KEY]).decode(before.encode(token))


@pytest.mark.parametrize(
    "keys",
    [
        [],
        [OLD_KEY, OLD_KEY],
        [SigningKey(1, b"short")],
        [SigningKey(256, b"x" * 32)],
        [OLD_KEY, NEW_KEY, SigningKey(3, b"x" * 32)],
    ],
)
def test_invalid_keyring_raises(keys: list[SigningKey]) -> None:
    with pytest.raises(ValueError, match="key"):
        Keyring(keys)


def test_history_excludes_commits_lost_in_a_failover() -> None:
    history = History.from_starts([(1, 0), (2, 100), (3, 250)])
    assert history.epoch == 3
    assert history.contains(3, 10**15)
    assert history.contains(2, 250)
    assert not history.contains(2, 251)
    assert history.contains(1, 100)
    assert not history.contains(1, 101)
    assert not history.contains(4, 1)  # a newer epoch than this history knows
    truncated_history = History.from_starts([(2, 100), (3, 250)])
    assert truncated_history.contains(1, 100)
    assert not truncated_history.contains(0, 1)
    assert not History.from_starts([]).contains(1, 1)


def test_lost_commit_stays_in_the_token_and_is_never_satisfied() -> None:
    history = History.from_starts([(1, 0), (2, 100)])
    token = Token.for_position(7, 1, 120).join(Token.for_position(7, 2, 110))
    assert history.required_position(token, 7) is None
    assert not history.satisfies(10**9, token, 7)
    observed = Token.for_position(7, 1, 90).join(Token.for_position(7, 2, 110), Token.for_position(8, 5, 999))
    assert history.required_position(observed, 7) == 110
    assert history.satisfies(110, observed, 7)
    assert not history.satisfies(109, observed, 7)
    assert history.required_position(Token.from_entries({}, 50), 7) == 50
