"""Encoding and decoding of single values in the text and the binary protocol.

Source: MySQL's documentation, "Text Resultset Row" and "Binary Protocol Resultset".
"""

from __future__ import annotations

import struct

from juniperreel.mysql.columns import BLOB_TYPES, STRING_TYPES, Column
from juniperreel.mysql.constants import BINARY, NULL, ColumnFlag, ColumnType
from juniperreel.mysql.packets import Cursor, ProtocolError, encode_string

Value = None | int | float | str | bytes

INTEGER_SIZES = {
    ColumnType.TINY: 1,
    ColumnType.SHORT: 2,
    ColumnType.LONG: 4,
    ColumnType.LONGLONG: 8,
    ColumnType.INT24: 4,
    ColumnType.YEAR: 2,
}
DATETIME_TYPES = frozenset({ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP})

# Dates and times in the binary protocol; trailing parts are omitted if they are 0.
DATETIME = struct.Struct("<HBBBBBI")  # year, month, day, hour, minute, second, microsecond
DATETIME_SIZES = (0, 4, 7, 11)
TIME = struct.Struct("<BIBBBI")  # negative, days, hours, minutes, seconds, microseconds
TIME_SIZES = (0, 8, 12)


# Text protocol.


def encode_text_value(value: Value) -> bytes:
    """Encode a value of a row in the text protocol."""
    match value:
        case None:
            return bytes((NULL,))
        case bytes():
            return encode_string(value)
        case str():
            return encode_string(value.encode())
        case float():
            return encode_string(repr(value).encode())
        case int():
            return encode_string(str(value).encode())


def decode_text_value(column: Column, data: bytes) -> Value:
    """Decode a value of a row in the text protocol. Raises ProtocolError.

    Decimals, dates and times remain strings, so that no precision is lost.
    """
    try:
        if column.type in INTEGER_SIZES:
            return int(data)
        if column.type in (ColumnType.FLOAT, ColumnType.DOUBLE):
            return float(data)
    except ValueError:
        raise ProtocolError(f"{data[:40]!r} is no number") from None
    if holds_bytes(column):
        return data
    return data.decode("utf-8", "replace")


def holds_bytes(column: Column) -> bool:
    """Whether the values of a non-numeric column are bytes, not text."""
    if column.type in BLOB_TYPES:
        return True
    if column.type in (ColumnType.NEWDECIMAL, ColumnType.JSON):
        return False
    return column.charset == BINARY and column.type in STRING_TYPES


# Binary protocol.


def encode_binary_value(column: Column, value: int | float | str | bytes) -> bytes:
    """Encode a value according to its column's type; dates and times are passed as strings."""
    if column.type in INTEGER_SIZES and isinstance(value, int):
        signed = not column.flags & ColumnFlag.UNSIGNED
        return value.to_bytes(INTEGER_SIZES[ColumnType(column.type)], "little", signed=signed)
    if column.type == ColumnType.DOUBLE and isinstance(value, float):
        return struct.pack("<d", value)
    if column.type == ColumnType.FLOAT and isinstance(value, float):
        return struct.pack("<f", value)
    if column.type in DATETIME_TYPES and isinstance(value, str):
        return encode_datetime(value)
    if column.type == ColumnType.TIME and isinstance(value, str):
        return encode_time(value)
    if isinstance(value, bytes):
        return encode_string(value)
    return encode_string((repr(value) if isinstance(value, float) else str(value)).encode())


def decode_binary_value(cursor: Cursor, value_type: int, unsigned: bool) -> Value:
    """Decode the next value of a row or a parameter. Raises ProtocolError."""
    if value_type in INTEGER_SIZES:
        size = INTEGER_SIZES[ColumnType(value_type)]
        return int.from_bytes(cursor.take(size), "little", signed=not unsigned)
    if value_type == ColumnType.FLOAT:
        single: float = struct.unpack("<f", cursor.take(4))[0]
        return float(f"{single:.9g}")
    if value_type == ColumnType.DOUBLE:
        double: float = struct.unpack("<d", cursor.take(8))[0]
        return double
    if value_type in DATETIME_TYPES:
        return decode_datetime(cursor.take(cursor.integer(1)), date_only=value_type == ColumnType.DATE)
    if value_type == ColumnType.TIME:
        return decode_time(cursor.take(cursor.integer(1)))
    if value_type in STRING_TYPES or value_type in BLOB_TYPES:
        return decode_string(value_type, cursor.string())
    raise ProtocolError(f"type {value_type} is not known")


def decode_string(value_type: int, data: bytes) -> Value:
    """Return a string if the type is not a BLOB and the bytes are valid UTF-8; else the bytes."""
    if value_type in BLOB_TYPES:
        return data
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError:
        return data


def decode_datetime(data: bytes, date_only: bool) -> str:
    """Return `2026-01-31`, followed by ` 23:59:59` unless `date_only`, and by a fraction unless it is 0."""
    if len(data) not in DATETIME_SIZES:
        raise ProtocolError(f"a date of {len(data)} bytes")
    year, month, day, hour, minute, second, microsecond = DATETIME.unpack(data.ljust(DATETIME.size, b"\0"))
    text = f"{year:04}-{month:02}-{day:02}"
    if not date_only:
        text += f" {hour:02}:{minute:02}:{second:02}"
        if microsecond:
            text += f".{microsecond:06}"
    return text


def encode_datetime(text: str) -> bytes:
    """Encode `2026-01-31`, optionally followed by ` 23:59:59` and a fraction such as `.000001`."""
    date, _, time = text.partition(" ")
    year, month, day = (int(part) for part in date.split("-"))
    data = struct.pack("<HBB", year, month, day)
    if time:
        clock, _, fraction = time.partition(".")
        data += bytes(int(part) for part in clock.split(":"))
        data += encode_fraction(fraction)
    return bytes((len(data),)) + data


def decode_time(data: bytes) -> str:
    """Return a time such as `-838:59:59`, followed by a fraction unless it is 0."""
    if len(data) not in TIME_SIZES:
        raise ProtocolError(f"a time of {len(data)} bytes")
    negative, days, hours, minutes, seconds, microseconds = TIME.unpack(data.ljust(TIME.size, b"\0"))
    text = f"{'-' if negative else ''}{24 * days + hours:02}:{minutes:02}:{seconds:02}"
    return text + (f".{microseconds:06}" if microseconds else "")


def encode_time(text: str) -> bytes:
    """Encode a time such as `-838:59:59`, optionally with a fraction."""
    clock, _, fraction = text.lstrip("-").partition(".")
    hours, minutes, seconds = (int(part) for part in clock.split(":"))
    data = struct.pack("<BIBBB", text.startswith("-"), hours // 24, hours % 24, minutes, seconds)
    data += encode_fraction(fraction)
    return bytes((len(data),)) + data


def encode_fraction(digits: str) -> bytes:
    """Encode the digits of a fraction as microseconds; empty if there are none."""
    return int(digits.ljust(6, "0")).to_bytes(4, "little") if digits else b""
