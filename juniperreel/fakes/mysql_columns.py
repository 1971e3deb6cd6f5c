"""Column types for results from SQLite, whose result columns have no declared types."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from juniperreel.mysql.columns import Column
from juniperreel.mysql.constants import ColumnType
from juniperreel.mysql.values import Value

COLUMN_TYPES = {
    int: ColumnType.LONGLONG,
    float: ColumnType.DOUBLE,
    str: ColumnType.VAR_STRING,
    bytes: ColumnType.BLOB,
}


def describe_columns(names: Sequence[str], rows: Sequence[Sequence[Any]]) -> list[Column]:
    """Columns with the common type of their values, or text if the types differ."""
    columns = []
    for index, name in enumerate(names):
        value_types = {type(row[index]) for row in rows if row[index] is not None}
        column_type = ColumnType.VAR_STRING
        if len(value_types) == 1:
            column_type = COLUMN_TYPES[value_types.pop()]
        columns.append(Column(name, column_type, schema="runs"))
    return columns


def convert(column: Column, value: Value) -> Value:
    """Convert a value to its column's type, which was derived from earlier rows."""
    if column.charset >= 0 or value is None or column.type in (ColumnType.VAR_STRING, ColumnType.BLOB):
        return value
    return int(value) if column.type == ColumnType.LONGLONG else float(value)
