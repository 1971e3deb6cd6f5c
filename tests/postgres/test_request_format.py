"""The request format: statements that match it exactly, and slight deviations from it."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.postgres.request_format import (
    VALUE_LIMIT,
    RequestFormatError,
    StatementRequest,
    parse_request,
    with_timeout,
)

READ = (
    b"SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655' "
    b"/* id=9b1f03aa5c7e2d41,c=basket,t=acme,d=480,cluster=2,after=1767225600123 */"
)
WRITE = (
    b"INSERT INTO objects (oid, body) VALUES ('7f3a9c21e0b4d655', '\\x9f03') RETURNING body "
    b"/* id=9b1f03aa5c7e2d41,c=order,t=acme,d=480,k=5c0f6e1a2b3d4c59,cluster=2,r=1 */"
)


def test_both_statements_are_parsed() -> None:
    assert parse_request(READ) == StatementRequest(
        text=READ,
        is_write=False,
        key="7f3a9c21e0b4d655",
        id="9b1f03aa5c7e2d41",
        class_name="basket",
        tenant="acme",
        timeout_ms=480,
        group=2,
        idempotency_key=None,
        is_retry=False,
        last_write_ms=1767225600123,
    )
    write = parse_request(WRITE)
    assert write.is_write
    assert write.idempotency_key == "5c0f6e1a2b3d4c59"
    assert write.is_retry


@pytest.mark.parametrize(
    "old,new",
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
def test_malformed_statement_is_rejected(old: bytes, new: bytes) -> None:
    for text in (READ, WRITE):
        assert old in text
        with pytest.raises(RequestFormatError):
            parse_request(text.replace(old, new, 1))


def test_oversized_or_malformed_value_is_rejected() -> None:
    assert parse_request(WRITE.replace(b"9f03", b"00" * VALUE_LIMIT)).is_write
    for value in (b"00" * (VALUE_LIMIT + 1), b"9f0", b"9g"):
        with pytest.raises(RequestFormatError):
            parse_request(WRITE.replace(b"9f03", value))


@given(st.binary(max_size=400))
def test_random_bytes_are_rejected(text: bytes) -> None:
    with pytest.raises(RequestFormatError):
        parse_request(text)


@given(st.integers(0, len(WRITE) - 1), st.integers(0, 255))
def test_statement_with_one_byte_changed_is_rejected_or_kept_verbatim(at: int, byte: int) -> None:
    text = WRITE[:at] + bytes((byte,)) + WRITE[at + 1 :]
    try:
        request = parse_request(text)
    except RequestFormatError:
        return
    assert request.text == text
    assert request.is_write


def test_with_timeout_rewrites_only_the_timeout() -> None:
    for text in (READ, WRITE):
        assert with_timeout(text, 77) == text.replace(b"d=480", b"d=77")
    lookalike = WRITE.replace(b"c=order", b"c=xd=1").replace(b"7f3a9c21e0b4d655', '", b"d=480', '")
    with pytest.raises(RequestFormatError):
        parse_request(lookalike)  # '=' is not allowed in keys
    assert with_timeout(READ.replace(b"c=basket", b"c=d"), 5).count(b"d=5,") == 1
