"""Rows of result sets in the text and the binary protocol."""

from __future__ import annotations

from collections.abc import Sequence

from juniperreel.mysql.columns import BLOB_TYPES, STRING_TYPES, Column
from juniperreel.mysql.constants import NULL, ColumnFlag
from juniperreel.mysql.packets import Cursor
from juniperreel.mysql.values import (
    Value,
    decode_binary_value,
    decode_text_value,
    encode_binary_value,
    encode_text_value,
)

NULL_BITMAP_OFFSET = 2  # reserved bits at the start of a binary row's null bitmap


def encode_text_row(row: Sequence[Value]) -> bytes:
    """Encode a row in the text protocol."""
    return b"".join(encode_text_value(value) for value in row)


def decode_text_row(columns: Sequence[Column], payload: bytes) -> list[Value]:
    """Decode a row of the text protocol. Raises ProtocolError."""
    cursor = Cursor(payload)
    row: list[Value] = []
    for column in columns:
        if cursor.peek() == NULL:
            cursor.take(1)
            row.append(None)
        else:
            row.append(decode_text_value(column, cursor.string()))
    return row


def encode_binary_row(columns: Sequence[Column], row: Sequence[Value]) -> bytes:
    """Encode a row in the binary protocol: a null bitmap, and the values that are not NULL."""
    null_bitmap = bytearray((len(columns) + NULL_BITMAP_OFFSET + 7) // 8)
    data = bytearray()
    for position, (column, value) in enumerate(zip(columns, row, strict=True), NULL_BITMAP_OFFSET):
        if value is None:
            null_bitmap[position // 8] |= 1 << (position % 8)
        else:
            data += encode_binary_value(column, value)
    return b"\0" + bytes(null_bitmap) + bytes(data)


def decode_binary_row(columns: Sequence[Column], payload: bytes) -> list[Value]:
    """Decode a row of the binary protocol. Raises ProtocolError."""
    cursor = Cursor(payload)
    cursor.take(1)
    null_bitmap = cursor.take((len(columns) + NULL_BITMAP_OFFSET + 7) // 8)
    row: list[Value] = []
    for position, column in enumerate(columns, NULL_BITMAP_OFFSET):
        if null_bitmap[position // 8] >> (position % 8) & 1:
            row.append(None)
        elif column.type in BLOB_TYPES or column.type in STRING_TYPES:
            row.append(decode_text_value(column, cursor.string()))
        else:
            unsigned = bool(column.flags & ColumnFlag.UNSIGNED)
            row.append(decode_binary_value(cursor, column.type, unsigned))
    return row
