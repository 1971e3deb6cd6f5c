"""The token's join, its bytes, and what a history of epochs still holds."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.causal import EMPTY, MAX_ENTRIES, History, Keyring, Token, TokenError
from juniperreel.causal.codec import MAC_BYTES, MAX_BYTES
from juniperreel.causal.token import MAX_EPOCH, MAX_GROUP, MAX_POSITION

OLD, NEW = (1, b"o" * 32), (2, b"n" * 32)
RING = Keyring([NEW, OLD])

keys = st.tuples(st.integers(0, 40), st.integers(0, 3))
entries = st.dictionaries(keys, st.integers(0, 60), max_size=120)
tokens = st.builds(Token.of, entries, st.integers(0, 10))
wide = st.builds(
    Token.of,
    st.dictionaries(
        st.tuples(st.integers(0, MAX_GROUP), st.integers(0, MAX_EPOCH)),
        st.integers(0, MAX_POSITION),
        max_size=80,
    ),
    st.integers(0, MAX_POSITION),
)


@given(tokens, tokens, tokens)
def test_join_is_a_join(a: Token, b: Token, c: Token) -> None:
    assert a.join(b) == b.join(a)
    assert a.join(a) == a
    assert a.join(b).join(c) == a.join(b.join(c)) == a.join(b, c)
    assert a.join(EMPTY) == a


@given(tokens, tokens)
def test_join_asks_for_all_that_was_asked(a: Token, b: Token) -> None:
    merged = a.join(b)
    assert len(merged.entries) <= MAX_ENTRIES
    for token in (a, b):
        assert merged.floor >= token.floor
        for key, position in token.entries.items():
            assert max(merged.entries.get(key, 0), merged.floor) >= position


@given(wide)
def test_bytes_and_text_come_back(token: Token) -> None:
    data = RING.encode(token)
    assert len(data) <= MAX_BYTES
    assert RING.decode(data) == token
    assert RING.decode_text(RING.encode_text(token)) == token


@given(wide, st.data())
def test_no_changed_byte_passes(token: Token, data: st.DataObject) -> None:
    good = bytearray(RING.encode(token))
    at = data.draw(st.integers(0, len(good) - 1))
    good[at] ^= data.draw(st.integers(1, 255))
    with pytest.raises(TokenError):
        RING.decode(bytes(good))


@given(st.binary(max_size=2000))
def test_noise_is_an_error(noise: bytes) -> None:
    with pytest.raises(TokenError):
        RING.decode(noise)


@given(st.binary(min_size=1, max_size=60))
def test_signed_noise_is_read_or_refused(body: bytes) -> None:
    signed = bytes((1, 2)) + body
    try:
        token = RING.decode(signed + RING._mac(2, signed))
    except TokenError:
        return
    assert RING.decode(RING.encode(token)) == token


@pytest.mark.parametrize("data", [b"", b"\x01", b"\x01\x02" + bytes(MAC_BYTES), bytes(1 << 20)])
def test_empty_cut_and_huge(data: bytes) -> None:
    with pytest.raises(TokenError):
        RING.decode(data)
    with pytest.raises(TokenError):
        RING.decode_text("A" * (1 << 20))
    with pytest.raises(TokenError):
        RING.decode_text("ü")


def test_keys_rotate_in_two_steps() -> None:
    token = Token.at(3, 1, 99)
    before, both, after = Keyring([OLD]), Keyring([OLD, NEW]), Keyring([NEW, OLD])
    assert both.decode(before.encode(token)) == token
    assert before.decode(both.encode(token)) == token
    assert both.decode(after.encode(token)) == token
    with pytest.raises(TokenError):
        Keyring([NEW]).decode(before.encode(token))


@pytest.mark.parametrize(
    "keys", [[], [OLD, OLD], [(1, b"short")], [(256, b"x" * 32)], [OLD, NEW, (3, b"x" * 32)]]
)
def test_bad_keyrings(keys: list[tuple[int, bytes]]) -> None:
    with pytest.raises(ValueError):
        Keyring(keys)


def test_history_tells_what_a_failover_cut_off() -> None:
    history = History.of([(1, 0), (2, 100), (3, 250)])
    assert history.epoch == 3
    assert history.holds(3, 10**15)
    assert history.holds(2, 250) and not history.holds(2, 251)
    assert history.holds(1, 100) and not history.holds(1, 101)
    assert not history.holds(4, 1)  # told by a newer epoch than this member knows
    late = History.of([(2, 100), (3, 250)])
    assert late.holds(1, 100) and not late.holds(0, 1)  # older than it tells of
    assert not History.of([]).holds(1, 1)


def test_a_lost_commit_is_never_satisfied_and_never_forgotten() -> None:
    history = History.of([(1, 0), (2, 100)])
    token = Token.at(7, 1, 120).join(Token.at(7, 2, 110))
    assert history.needed(token, 7) is None
    assert not history.satisfies(10**9, token, 7)
    kept = Token.at(7, 1, 90).join(Token.at(7, 2, 110), Token.at(8, 5, 999))
    assert history.needed(kept, 7) == 110
    assert history.satisfies(110, kept, 7) and not history.satisfies(109, kept, 7)
    assert history.needed(Token.of({}, 50), 7) == 50
