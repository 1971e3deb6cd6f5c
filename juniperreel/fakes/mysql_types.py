"""The columns of a table with every MySQL type, most of which SQLite lacks."""

from __future__ import annotations

from typing import Any, NamedTuple

from juniperreel.mysql.constants import BINARY, UTF8MB4, ColumnFlag, ColumnType

ENUM_FLAG = 0x100
SET_FLAG = 0x800


class TypedColumn(NamedTuple):
    """A column and its value in the table's row of values."""

    name: str
    type: ColumnType
    charset: int
    flags: int
    value: Any


TYPED_COLUMNS = [
    TypedColumn("tiny", ColumnType.TINY, BINARY, 0, -128),
    TypedColumn("utiny", ColumnType.TINY, BINARY, ColumnFlag.UNSIGNED, 255),
    TypedColumn("short", ColumnType.SHORT, BINARY, 0, -32768),
    TypedColumn("mid", ColumnType.INT24, BINARY, 0, -8388608),
    TypedColumn("long", ColumnType.LONG, BINARY, 0, -2147483648),
    TypedColumn("big", ColumnType.LONGLONG, BINARY, 0, -(1 << 63)),
    TypedColumn("ubig", ColumnType.LONGLONG, BINARY, ColumnFlag.UNSIGNED, (1 << 64) - 1),
    TypedColumn("float", ColumnType.FLOAT, BINARY, 0, 0.5),
    TypedColumn("double", ColumnType.DOUBLE, BINARY, 0, 0.1),
    TypedColumn("decimal", ColumnType.NEWDECIMAL, BINARY, 0, "-12345678901234567890.12"),
    TypedColumn("year", ColumnType.YEAR, BINARY, ColumnFlag.UNSIGNED, 2026),
    TypedColumn("date", ColumnType.DATE, BINARY, 0, "2026-12-01"),
    TypedColumn("datetime", ColumnType.DATETIME, BINARY, 0, "2026-12-01 23:59:58.000007"),
    TypedColumn("stamp", ColumnType.TIMESTAMP, BINARY, 0, "2026-12-01 23:59:58"),
    TypedColumn("time", ColumnType.TIME, BINARY, 0, "-26:00:01.500000"),
    TypedColumn("char", ColumnType.STRING, UTF8MB4, 0, "née ✓"),
    TypedColumn("varchar", ColumnType.VAR_STRING, UTF8MB4, 0, "x" * 300),
    TypedColumn("text", ColumnType.BLOB, UTF8MB4, 0, "ñ" * 70_000),
    TypedColumn("blob", ColumnType.BLOB, BINARY, ColumnFlag.BINARY, bytes(range(256))),
    TypedColumn("bit", ColumnType.BIT, BINARY, ColumnFlag.UNSIGNED, b"\x05"),
    TypedColumn("json", ColumnType.JSON, UTF8MB4, 0, '{"a": [1, null, "\u00e9"]}'),
    TypedColumn("enum", ColumnType.STRING, UTF8MB4, ENUM_FLAG, "small"),
    TypedColumn("set", ColumnType.STRING, UTF8MB4, SET_FLAG, "a,b"),
]
