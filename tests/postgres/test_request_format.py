"""The request form: what is exactly in it, and all that is nearly so."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.postgres.request_format import VALUE_LIMIT, FormError, parse, with_span

READ = (
    b"SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655' "
    b"/* id=9b1f03aa5c7e2d41,c=basket,t=acme,d=480,cluster=2,after=1767225600123 */"
)
WRITE = (
    b"INSERT INTO objects (oid, body) VALUES ('7f3a9c21e0b4d655', '\\x9f03') RETURNING body "
    b"/* id=9b1f03aa5c7e2d41,c=order,t=acme,d=480,k=5c0f6e1a2b3d4c59,cluster=2,r=1 */"
)


def test_both_statements_are_read() -> None:
    form = parse(READ)
    assert (form.write, form.key, form.cls, form.tenant) == (False, "7f3a9c21e0b4d655", "basket", "acme")
    assert (form.span_ms, form.group, form.after_ms, form.retry) == (480, 2, 1767225600123, False)
    form = parse(WRITE)
    assert form.write and form.idempotency == "5c0f6e1a2b3d4c59" and form.retry


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (b"d=480", b"d=soon"),
        (b"d=480", b"d=-5"),
        (b"d=480", b"d=0"),
        (b"d=480", b"d=99999999999"),
        (b"d=480,", b""),
        (b"id=9b1f03aa5c7e2d41,", b""),
        (b"id=9b1f03aa5c7e2d41", b"id=9b1f03aa5c7e2d4"),
        (b"id=9b1f03aa5c7e2d41", b"id=9b1f03aa5c7e2d41,id=9b1f03aa5c7e2d41"),
        (b"c=", b"c=/"),
        (b"cluster=2", b"cluster=x"),
        (b"t=acme", b"t=acme,more=1"),
        (b" */", b" */;"),
        (b" */", b" */ -- and"),
        (b" */", b""),
        (b"objects", b"Objects"),
        (b"7f3a9c21e0b4d655'", b"7f3a' OR 'a'='a'"),
        (b"/* ", b"/* \xff"),
        (b"/* ", b"/* /* "),
    ],
)
def test_whatever_is_not_in_the_form_is_turned_away(old: bytes, new: bytes) -> None:
    for text in (READ, WRITE):
        assert old in text
        with pytest.raises(FormError):
            parse(text.replace(old, new, 1))


def test_values_have_a_limit_and_are_whole_bytes() -> None:
    assert parse(WRITE.replace(b"9f03", b"00" * VALUE_LIMIT)).write
    for value in (b"00" * (VALUE_LIMIT + 1), b"9f0", b"9g"):
        with pytest.raises(FormError):
            parse(WRITE.replace(b"9f03", value))


@given(st.binary(max_size=400))
def test_noise_is_turned_away(text: bytes) -> None:
    with pytest.raises(FormError):
        parse(text)


@given(st.integers(0, len(WRITE) - 1), st.integers(0, 255))
def test_one_byte_changed_is_still_in_the_form_or_turned_away(at: int, byte: int) -> None:
    text = WRITE[:at] + bytes((byte,)) + WRITE[at + 1 :]
    try:
        form = parse(text)
    except FormError:
        return
    assert form.text == text and form.write


def test_only_the_span_is_rewritten() -> None:
    for text in (READ, WRITE):
        assert with_span(text, 77) == text.replace(b"d=480", b"d=77")
    odd = WRITE.replace(b"c=order", b"c=xd=1").replace(b"7f3a9c21e0b4d655', '", b"d=480', '")
    with pytest.raises(FormError):
        parse(odd)  # a key with an equals sign is none
    assert with_span(READ.replace(b"c=basket", b"c=d"), 5).count(b"d=5,") == 1
