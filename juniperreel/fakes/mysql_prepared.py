"""Prepared statements of a MySQL connection: placeholders and bound values."""

from __future__ import annotations

from typing import NamedTuple

from juniperreel.mysql.packets import Cursor
from juniperreel.mysql.parameters import Parameter, decode_parameter_types, decode_parameter_values
from juniperreel.mysql.values import Value

PARAMETER_COUNT_AVAILABLE = 0x08
QUOTES = "'\"`"


class PreparedStatement:
    """A statement, the latest types of its parameters, and long data received for the next execution."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.parameter_count = count_placeholders(text)
        self.types: list[Parameter] = []
        self.long_data: dict[int, bytearray] = {}  # by parameter

    def append_long_data(self, parameter: int, data: bytes) -> None:
        """Append to the value of a parameter that is sent in chunks."""
        self.long_data.setdefault(parameter, bytearray()).extend(data)


class BoundStatement(NamedTuple):
    """A prepared statement with the values and query attributes of one execution."""

    text: str
    values: list[Value]
    attributes: dict[str, Value]


def bind(statement: PreparedStatement, packet: Cursor, flags: int, takes_attributes: bool) -> BoundStatement:
    """Decode the parameters of an execution. Raises ProtocolError for a malformed packet."""
    total = statement.parameter_count
    if takes_attributes and (total or flags & PARAMETER_COUNT_AVAILABLE):
        total = packet.length()
    if not total:
        return BoundStatement(statement.text, [], {})
    null_bitmap = packet.take((total + 7) // 8)
    new_types_follow = packet.integer(1)
    if new_types_follow:
        statement.types = decode_parameter_types(packet, total, takes_attributes)
    values = decode_parameter_values(packet, statement.types, null_bitmap, statement.long_data)
    statement.long_data.clear()
    count = statement.parameter_count
    names = [parameter.name for parameter in statement.types[count:]]
    attributes = dict(zip(names, values[count:], strict=True))
    return BoundStatement(statement.text, values[:count], attributes)


def count_placeholders(text: str) -> int:
    """The number of placeholders outside of strings, quoted identifiers and comments."""
    count = 0
    index = 0
    quote = ""
    while index < len(text):
        character = text[index]
        if quote:
            if character == "\\" and quote != "`":
                index += 1
            elif character == quote:
                quote = ""
        elif character in QUOTES:
            quote = character
        elif text.startswith("/*", index):
            index = text.find("*/", index) + 1 or len(text)
        elif character == "?":
            count += 1
        index += 1
    return count
