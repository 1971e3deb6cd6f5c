"""Parameters of prepared statements ("COM_STMT_EXECUTE"), and query attributes ("COM_QUERY")."""

from __future__ import annotations

import struct
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from juniperreel.mysql.constants import ColumnType
from juniperreel.mysql.packets import Cursor, ProtocolError, encode_length, encode_string
from juniperreel.mysql.values import Value, decode_binary_value, decode_string

UNSIGNED = 0x80  # flag of a parameter's type
MAX_ATTRIBUTES = 32  # per command
TYPES_FOLLOW = b"\x01"


class OutOfRangeError(Exception):
    """A number does not fit in a signed 64-bit integer, which is what endpoints support."""


@dataclass(frozen=True, slots=True)
class Parameter:
    """A parameter's type as sent. Only query attributes have a name."""

    type: int
    unsigned: bool
    name: str = ""


class EncodedValue(NamedTuple):
    """A parameter's type and encoded value."""

    type: int
    data: bytes


def decode_parameter_types(cursor: Cursor, total: int, named: bool) -> list[Parameter]:
    """Decode the types of `total` parameters, with their names if `named`. Raises ProtocolError."""
    parameters = []
    for _ in range(total):
        value_type = cursor.integer(1)
        flags = cursor.integer(1)
        name = cursor.string().decode("utf-8", "replace") if named else ""
        parameters.append(Parameter(value_type, bool(flags & UNSIGNED), name))
    return parameters


def decode_parameter_values(
    cursor: Cursor,
    parameters: Sequence[Parameter],
    null_bitmap: bytes,
    long_data: Mapping[int, bytes | bytearray],
) -> list[Value]:
    """Decode the parameters' values.

    `long_data` has the values that were sent before by COM_STMT_SEND_LONG_DATA, by position.
    Raises ProtocolError or OutOfRangeError.
    """
    values: list[Value] = []
    for position, parameter in enumerate(parameters):
        if position in long_data:
            values.append(decode_string(parameter.type, bytes(long_data[position])))
        elif null_bitmap[position // 8] >> (position % 8) & 1 or parameter.type == ColumnType.NULL:
            values.append(None)
        else:
            value = decode_binary_value(cursor, parameter.type, parameter.unsigned)
            if isinstance(value, int) and value >= 1 << 63:
                raise OutOfRangeError(f"{value} is out of range")
            values.append(value)
    return values


def decode_query_attributes(cursor: Cursor) -> dict[str, Value]:
    """Decode the attributes that precede the text of a COM_QUERY. Raises ProtocolError."""
    total = cursor.length()
    cursor.length()  # the number of parameter sets, which is always 1
    if not total:
        return {}
    if total > MAX_ATTRIBUTES:
        raise ProtocolError(f"{total} attributes")
    null_bitmap = cursor.take((total + 7) // 8)
    if not cursor.integer(1):
        raise ProtocolError("attributes without types")
    parameters = decode_parameter_types(cursor, total, named=True)
    try:
        values = decode_parameter_values(cursor, parameters, null_bitmap, {})
    except OutOfRangeError as error:
        raise ProtocolError(str(error)) from None
    return {parameter.name: value for parameter, value in zip(parameters, values, strict=True)}


def encode_parameter_value(value: Value) -> EncodedValue:
    """Encode a parameter; NULL has no bytes."""
    match value:
        case None:
            return EncodedValue(ColumnType.NULL, b"")
        case bool() | int():
            return EncodedValue(ColumnType.LONGLONG, int(value).to_bytes(8, "little", signed=True))
        case float():
            return EncodedValue(ColumnType.DOUBLE, struct.pack("<d", value))
        case str():
            return EncodedValue(ColumnType.VAR_STRING, encode_string(value.encode()))
        case bytes():
            return EncodedValue(ColumnType.BLOB, encode_string(value))


def encode_parameters(values: Sequence[Value], names: Sequence[str] | None) -> bytes:
    """Encode null bitmap, types and values, with `names` if query attributes were negotiated."""
    null_bitmap = bytearray((len(values) + 7) // 8)
    types = bytearray()
    data = bytearray()
    for position, value in enumerate(values):
        if value is None:
            null_bitmap[position // 8] |= 1 << (position % 8)
        encoded = encode_parameter_value(value)
        types += bytes((encoded.type, 0))
        if names is not None:
            types += encode_string(names[position].encode())
        data += encoded.data
    return bytes(null_bitmap) + TYPES_FOLLOW + bytes(types) + bytes(data)


def encode_query_attributes(attributes: Mapping[str, Value]) -> bytes:
    """Encode the attributes that precede the text of a COM_QUERY."""
    head = encode_length(len(attributes)) + encode_length(1)
    if not attributes:
        return head
    return head + encode_parameters(list(attributes.values()), list(attributes))
