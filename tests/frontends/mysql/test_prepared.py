"""Prepared statements by bytes: what clients send comes out as meant, and nothing grows without end."""

from __future__ import annotations

import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.frontends.mysql.prepared import (
    MAX_STATEMENTS,
    OUT_OF_RANGE,
    TOO_LONG,
    TOO_MANY,
    UNKNOWN,
    WRONG_ARGUMENTS,
    Fault,
    Prepared,
    Statement,
    count_parameters,
)
from juniperreel.mysql.constants import ColumnType
from juniperreel.mysql.packets import Cursor, length, string
from juniperreel.mysql.values import Column, Value, binary_row
from juniperreel.statements import LexerMode, classify_statement

TEXT = b"insert into runs (runner, id) values (?, ?)"


def made(text: bytes = TEXT, most: int = 10_000) -> tuple[Prepared, Statement]:
    prepared = Prepared(most)
    return prepared, prepared.prepare(text, classify_statement(text), LexerMode())


def execution(number: int, *values: tuple[int, bool, bytes | None], typed: bool = True) -> bytes:
    """COM_STMT_EXECUTE: type, unsigned, bytes of each parameter."""
    nulls = bytearray((len(values) + 7) // 8)
    for at, (_, _, data) in enumerate(values):
        if data is None:
            nulls[at // 8] |= 1 << (at % 8)
    types = b"".join(bytes((kind, 0x80 * unsigned)) for kind, unsigned, _ in values) if typed else b""
    body = b"".join(data for _, _, data in values if data is not None)
    return struct.pack("<IBI", number, 0, 1) + bytes(nulls) + bytes((typed,)) + types + body


@pytest.mark.parametrize(
    ("text", "count"),
    [
        (b"select 1", 0),
        (b"select ?", 1),
        (b"select '?', \"?\", `?`, ? /* ? */ -- ?\n, ?", 2),
        (b"insert into t values (?,?,?)", 3),
    ],
)
def test_placeholders_are_counted_outside_of_strings_and_comments(text: bytes, count: int) -> None:
    assert count_parameters(text, LexerMode()) == count


@pytest.mark.parametrize(
    ("kind", "unsigned", "data", "meant"),
    [
        (1, False, b"\xff", -1),
        (1, True, b"\xff", 255),
        (2, False, struct.pack("<h", -300), -300),
        (13, True, struct.pack("<H", 2026), 2026),
        (3, False, struct.pack("<i", -70000), -70000),
        (8, False, struct.pack("<q", -(1 << 63)), -(1 << 63)),
        (4, False, struct.pack("<f", 0.1), 0.100000001),
        (5, False, struct.pack("<d", 0.1), 0.1),
        (6, False, b"", None),
        (253, False, string("née ✓".encode()), "née ✓"),
        (254, False, string(b"\xff\xfe"), b"\xff\xfe"),
        (252, False, string(b"text"), b"text"),
        (246, False, string(b"12.50"), "12.50"),
        (10, False, b"\x04" + struct.pack("<HBB", 2026, 12, 1), "2026-12-01"),
        (12, False, b"\x07" + struct.pack("<HBBBBB", 2026, 12, 1, 9, 5, 7), "2026-12-01 09:05:07"),
        (7, False, b"\x0b" + struct.pack("<HBBBBBI", 2026, 12, 1, 9, 5, 7, 42), "2026-12-01 09:05:07.000042"),
        (12, False, b"\x00", "0000-00-00 00:00:00"),
        (11, False, b"\x08" + struct.pack("<BIBBB", 1, 1, 2, 3, 4), "-26:03:04"),
        (11, False, b"\x0c" + struct.pack("<BIBBBI", 0, 0, 2, 3, 4, 5), "02:03:04.000005"),
    ],
)
def test_every_type_comes_out_as_it_was_meant(kind: int, unsigned: bool, data: bytes, meant: Value) -> None:
    prepared, statement = made(b"select ?")
    assert prepared.execute(execution(statement.id, (kind, unsigned, data))) == (statement, [meant], {})


def test_types_are_sent_once_and_nulls_each_time() -> None:
    prepared, statement = made()
    first = ((253, False, string(b"a")), (8, False, struct.pack("<q", 7)))
    assert prepared.execute(execution(statement.id, *first))[1] == ["a", 7]
    again = ((0, False, None), (0, False, struct.pack("<q", 8)))
    assert prepared.execute(execution(statement.id, *again, typed=False))[1] == [None, 8]


def fault(prepared: Prepared, payload: bytes) -> tuple[int, str]:
    with pytest.raises(Fault) as caught:
        prepared.execute(payload)
    return caught.value.code


def test_what_is_wrong_is_told_and_the_statement_stays() -> None:
    prepared, statement = made(b"select ?")
    good = execution(statement.id, (8, False, struct.pack("<q", 1)))
    assert fault(prepared, execution(99, (8, False, bytes(8)))) == UNKNOWN
    assert fault(prepared, execution(statement.id, (8, True, b"\xff" * 8))) == OUT_OF_RANGE
    assert fault(prepared, good[:-3]) == WRONG_ARGUMENTS
    assert fault(prepared, good + b"!") == WRONG_ARGUMENTS
    assert fault(prepared, execution(statement.id, (99, False, b"x"))) == WRONG_ARGUMENTS
    assert prepared.execute(good)[1] == [1]
    untyped = Prepared(1000)
    fresh = untyped.prepare(b"select ?", classify_statement(b"select ?"), LexerMode())
    assert fault(untyped, execution(fresh.id, (8, False, bytes(8)), typed=False)) == WRONG_ARGUMENTS


def test_long_data_is_joined_used_once_and_bounded() -> None:
    prepared, statement = made(most=1000)
    number = struct.pack("<I", statement.id)
    for part in (b"one ", b"two"):
        prepared.long_data(number + b"\0\0" + part)
    sent = ((253, False, b""), (8, False, struct.pack("<q", 7)))
    assert prepared.execute(execution(statement.id, *sent))[1] == ["one two", 7]
    whole = ((253, False, string(b"short")), (8, False, struct.pack("<q", 7)))
    assert prepared.execute(execution(statement.id, *whole))[1] == ["short", 7]
    for _ in range(20):
        prepared.long_data(number + b"\0\0" + bytes(100))
    assert fault(prepared, execution(statement.id, *sent)) == TOO_LONG
    prepared.reset(number)
    assert prepared.execute(execution(statement.id, *whole))[1] == ["short", 7]
    prepared.long_data(number + b"\x09\0" + b"x")
    assert fault(prepared, execution(statement.id, *whole)) == WRONG_ARGUMENTS


def test_ids_are_bounded_wrap_and_never_meet() -> None:
    prepared, statement = made(b"select 1")
    reading = classify_statement(b"select 1")
    prepared._ids = iter([(1 << 32) - 1, 1 << 32, (1 << 32) + statement.id, (1 << 32) + 2])  # type: ignore[assignment]
    first, second = (prepared.prepare(b"select 2", reading, LexerMode()) for _ in range(2))
    assert first.id == (1 << 32) - 1 and second.id == 2 and prepared.get(statement.id).text == b"select 1"
    full, _ = made(b"select 1", most=1 << 20)
    with pytest.raises(Fault) as caught:
        for _ in range(MAX_STATEMENTS):
            full.prepare(b"select 1", reading, LexerMode())
    assert caught.value.code == TOO_MANY
    full.close(struct.pack("<I", 1))
    full.prepare(b"select 1", reading, LexerMode())
    with pytest.raises(Fault):
        made(b"select 1" + b" " * 2000, most=1000)


def test_binary_rows_hold_what_a_client_reads() -> None:
    columns = [Column("n", ColumnType.LONGLONG), Column("x", ColumnType.DOUBLE)]
    columns += [Column("t", ColumnType.VAR_STRING), Column("b", ColumnType.BLOB)]
    row = binary_row(columns, [-5, 0.5, "née", b"\xff"])
    assert row == b"\0\0" + struct.pack("<qd", -5, 0.5) + string("née".encode()) + string(b"\xff")
    assert binary_row(columns, [None, 0.5, None, b""])[:2] == b"\0" + bytes((0b010100,))
    mixed = [Column("m", ColumnType.VAR_STRING)]
    assert binary_row(mixed, [5]) == b"\0\0" + string(b"5")


@given(st.binary(max_size=200), st.integers(0, 4))
def test_noise_is_a_fault_or_values(data: bytes, parameters: int) -> None:
    prepared, statement = made(b"select " + b",".join([b"?"] * parameters or [b"1"]))
    try:
        _, values, _ = prepared.execute(struct.pack("<IBI", statement.id, 0, 1) + data)
        assert len(values) == parameters
    except Fault:
        pass
    prepared.long_data(data)
    prepared.close(data)


@given(st.integers(0, (1 << 64) - 1))
def test_lengths_come_back(size: int) -> None:
    assert Cursor(length(size)).length() == size
