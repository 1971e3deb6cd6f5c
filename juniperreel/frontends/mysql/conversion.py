"""Converts values and results between MySQL's columns and rows and the ResultSet message of gRPC."""

from __future__ import annotations

from typing import NamedTuple

from juniperreel.mysql.columns import Column
from juniperreel.mysql.constants import ColumnType
from juniperreel.mysql.values import Value
from juniperreel.pool.result import Result
from juniperreel.proto.common.v1 import values_pb2

COLUMN_TYPES = {
    "integer": ColumnType.LONGLONG,
    "real": ColumnType.DOUBLE,
    "text": ColumnType.VAR_STRING,
    "blob": ColumnType.BLOB,
}


class Table(NamedTuple):
    """Columns, and rows with a value for each of them."""

    columns: list[Column]
    rows: list[list[Value]]


def to_table(result_set: values_pb2.ResultSet) -> Table:
    """The columns and rows of a ResultSet. A column has the type of its values, or text if they differ."""
    rows: list[list[Value]] = []
    kinds_by_column: list[set[str]] = [set() for _ in result_set.columns]
    for row in result_set.rows:
        values: list[Value] = []
        for position, value in enumerate(row.values):
            kind = value.WhichOneof("kind")
            if kind in (None, "null"):
                values.append(None)
                continue
            kinds_by_column[position].add(kind)
            values.append(getattr(value, kind))
        rows.append(values)
    columns = [
        Column(name, column_type(kinds))
        for name, kinds in zip(result_set.columns, kinds_by_column, strict=True)
    ]
    return Table(columns, rows)


def column_type(kinds: set[str]) -> ColumnType:
    """The type of a column whose values are of these kinds."""
    return COLUMN_TYPES[next(iter(kinds))] if len(kinds) == 1 else ColumnType.VAR_STRING


def to_grpc_value(value: Value) -> values_pb2.Value:
    """Convert a value to its gRPC message."""
    match value:
        case None:
            return values_pb2.Value(null=True)
        case bytes():
            return values_pb2.Value(blob=value)
        case str():
            return values_pb2.Value(text=value)
        case float():
            return values_pb2.Value(real=value)
        case int() if -(1 << 63) <= value < 1 << 63:
            return values_pb2.Value(integer=value)
        case int():
            return values_pb2.Value(text=str(value))  # an unsigned integer beyond the message's int64


def to_result_set(result: Result) -> values_pb2.ResultSet:
    """The ResultSet of an endpoint that speaks MySQL. Raises ProtocolError for malformed rows."""
    result_set = values_pb2.ResultSet(
        columns=[column.name for column in result.columns], affected=result.ok.affected
    )
    for row in result.values():
        result_set.rows.add(values=[to_grpc_value(value) for value in row])
    return result_set
