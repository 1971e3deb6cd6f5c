"""Prepared statements: decoding of the binary protocol, errors, and limits on statements and long data."""

from __future__ import annotations

import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.frontends.mysql.errors import (
    OUT_OF_RANGE,
    TOO_LONG,
    TOO_MANY_STATEMENTS,
    UNKNOWN_STATEMENT,
    WRONG_ARGUMENTS,
    ErrorCode,
    PreparedStatementError,
)
from juniperreel.frontends.mysql.prepared import (
    MAX_STATEMENTS,
    Execution,
    PreparedStatement,
    PreparedStatements,
    count_parameters,
)
from juniperreel.mysql.columns import Column
from juniperreel.mysql.constants import ColumnType
from juniperreel.mysql.packets import Cursor, encode_length, encode_string
from juniperreel.mysql.rows import encode_binary_row
from juniperreel.mysql.values import Value
from juniperreel.statements import LexerMode, classify_statement

TEXT = b"insert into runs (runner, id) values (?, ?)"


def prepare(text: bytes = TEXT, max_bytes: int = 10_000) -> tuple[PreparedStatements, PreparedStatement]:
    prepared = PreparedStatements(max_bytes)
    return prepared, prepared.prepare(text, classify_statement(text), LexerMode())


def encode_execution(statement_id: int, *values: tuple[int, bool, bytes | None], typed: bool = True) -> bytes:
    """Encode COM_STMT_EXECUTE; each value is its type, whether it is unsigned, and its bytes or None."""
    nulls = bytearray((len(values) + 7) // 8)
    for position, (_, _, data) in enumerate(values):
        if data is None:
            nulls[position // 8] |= 1 << (position % 8)
    types = b"".join(bytes((kind, 0x80 * unsigned)) for kind, unsigned, _ in values) if typed else b""
    body = b"".join(data for _, _, data in values if data is not None)
    return struct.pack("<IBI", statement_id, 0, 1) + bytes(nulls) + bytes((typed,)) + types + body


@pytest.mark.parametrize(
    "text, count",
    [
        (b"select 1", 0),
        (b"select ?", 1),
        (b"select '?', \"?\", `?`, ? /* ? */ -- ?\n, ?", 2),
        (b"insert into t values (?,?,?)", 3),
    ],
)
def test_count_parameters_skips_strings_and_comments(text: bytes, count: int) -> None:
    assert count_parameters(text, LexerMode()) == count


@pytest.mark.parametrize(
    "kind, unsigned, data, expected",
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
        (253, False, encode_string("née ✓".encode()), "née ✓"),
        (254, False, encode_string(b"\xff\xfe"), b"\xff\xfe"),
        (252, False, encode_string(b"text"), b"text"),
        (246, False, encode_string(b"12.50"), "12.50"),
        (10, False, b"\x04" + struct.pack("<HBB", 2026, 12, 1), "2026-12-01"),
        (12, False, b"\x07" + struct.pack("<HBBBBB", 2026, 12, 1, 9, 5, 7), "2026-12-01 09:05:07"),
        (7, False, b"\x0b" + struct.pack("<HBBBBBI", 2026, 12, 1, 9, 5, 7, 42), "2026-12-01 09:05:07.000042"),
        (12, False, b"\x00", "0000-00-00 00:00:00"),
        (11, False, b"\x08" + struct.pack("<BIBBB", 1, 1, 2, 3, 4), "-26:03:04"),
        (11, False, b"\x0c" + struct.pack("<BIBBBI", 0, 0, 2, 3, 4, 5), "02:03:04.000005"),
    ],
)
def test_execute_with_each_type_decodes_the_value(
    kind: int, unsigned: bool, data: bytes, expected: Value
) -> None:
    prepared, statement = prepare(b"select ?")
    assert prepared.execute(encode_execution(statement.id, (kind, unsigned, data))) == Execution(
        statement, [expected], {}
    )


def test_execute_without_types_uses_those_of_the_last_execution() -> None:
    prepared, statement = prepare()
    first = ((253, False, encode_string(b"a")), (8, False, struct.pack("<q", 7)))
    assert prepared.execute(encode_execution(statement.id, *first)).values == ["a", 7]
    again = ((0, False, None), (0, False, struct.pack("<q", 8)))
    assert prepared.execute(encode_execution(statement.id, *again, typed=False)).values == [None, 8]


def error_of(prepared: PreparedStatements, payload: bytes) -> ErrorCode:
    with pytest.raises(PreparedStatementError) as caught:
        prepared.execute(payload)
    return caught.value.code


def test_execute_with_bad_arguments_raises_and_keeps_the_statement() -> None:
    prepared, statement = prepare(b"select ?")
    good = encode_execution(statement.id, (8, False, struct.pack("<q", 1)))
    assert error_of(prepared, encode_execution(99, (8, False, bytes(8)))) == UNKNOWN_STATEMENT
    assert error_of(prepared, encode_execution(statement.id, (8, True, b"\xff" * 8))) == OUT_OF_RANGE
    assert error_of(prepared, good[:-3]) == WRONG_ARGUMENTS
    assert error_of(prepared, good + b"!") == WRONG_ARGUMENTS
    assert error_of(prepared, encode_execution(statement.id, (99, False, b"x"))) == WRONG_ARGUMENTS
    assert prepared.execute(good)[1] == [1]
    untyped = PreparedStatements(1000)
    untyped_statement = untyped.prepare(b"select ?", classify_statement(b"select ?"), LexerMode())
    assert (
        error_of(untyped, encode_execution(untyped_statement.id, (8, False, bytes(8)), typed=False))
        == WRONG_ARGUMENTS
    )


def test_long_data_in_pieces_is_joined_used_once_and_bounded() -> None:
    prepared, statement = prepare(max_bytes=1000)
    encoded_id = struct.pack("<I", statement.id)
    for part in (b"one ", b"two"):
        prepared.append_long_data(encoded_id + b"\0\0" + part)
    sent = ((253, False, b""), (8, False, struct.pack("<q", 7)))
    assert prepared.execute(encode_execution(statement.id, *sent)).values == ["one two", 7]
    inline = ((253, False, encode_string(b"short")), (8, False, struct.pack("<q", 7)))
    assert prepared.execute(encode_execution(statement.id, *inline)).values == ["short", 7]
    for _ in range(20):
        prepared.append_long_data(encoded_id + b"\0\0" + bytes(100))
    assert error_of(prepared, encode_execution(statement.id, *sent)) == TOO_LONG
    prepared.reset(encoded_id)
    assert prepared.execute(encode_execution(statement.id, *inline)).values == ["short", 7]
    prepared.append_long_data(encoded_id + b"\x09\0" + b"x")
    assert error_of(prepared, encode_execution(statement.id, *inline)) == WRONG_ARGUMENTS


def prepare_repeatedly(prepared: PreparedStatements, times: int) -> None:
    for _ in range(times):
        prepared.prepare(b"select 1", classify_statement(b"select 1"), LexerMode())


def test_statement_ids_wrap_skip_those_in_use_and_are_bounded() -> None:
    prepared, statement = prepare(b"select 1")
    reading = classify_statement(b"select 1")
    prepared._ids = iter([(1 << 32) - 1, 1 << 32, (1 << 32) + statement.id, (1 << 32) + 2])  # type: ignore[assignment]
    first, second = (prepared.prepare(b"select 2", reading, LexerMode()) for _ in range(2))
    assert first.id == (1 << 32) - 1
    assert second.id == 2
    assert prepared.get(statement.id).text == b"select 1"
    full, _ = prepare(b"select 1", max_bytes=1 << 20)
    with pytest.raises(PreparedStatementError) as caught:
        prepare_repeatedly(full, MAX_STATEMENTS)
    assert caught.value.code == TOO_MANY_STATEMENTS
    full.close(struct.pack("<I", 1))
    full.prepare(b"select 1", reading, LexerMode())
    with pytest.raises(PreparedStatementError):
        prepare(b"select 1" + b" " * 2000, max_bytes=1000)


def test_binary_row_encodes_values_and_nulls() -> None:
    columns = [Column("n", ColumnType.LONGLONG), Column("x", ColumnType.DOUBLE)]
    columns += [Column("t", ColumnType.VAR_STRING), Column("b", ColumnType.BLOB)]
    row = encode_binary_row(columns, [-5, 0.5, "née", b"\xff"])
    assert row == b"\0\0" + struct.pack("<qd", -5, 0.5) + encode_string("née".encode()) + encode_string(
        b"\xff"
    )
    assert encode_binary_row(columns, [None, 0.5, None, b""])[:2] == b"\0" + bytes((0b010100,))
    mixed = [Column("m", ColumnType.VAR_STRING)]
    assert encode_binary_row(mixed, [5]) == b"\0\0" + encode_string(b"5")


@given(st.binary(max_size=200), st.integers(0, 4))
def test_execute_with_random_bytes_raises_or_returns_values(data: bytes, parameters: int) -> None:
    prepared, statement = prepare(b"select " + b",".join([b"?"] * parameters or [b"1"]))
    try:
        _, values, _ = prepared.execute(struct.pack("<IBI", statement.id, 0, 1) + data)
        assert len(values) == parameters
    except PreparedStatementError:
        pass
    prepared.append_long_data(data)
    prepared.close(data)


@given(st.integers(0, (1 << 64) - 1))
def test_length_encoding_round_trips(size: int) -> None:
    assert Cursor(encode_length(size)).length() == size
