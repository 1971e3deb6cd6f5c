"""What clients of MySQL are told: the one table of errors, which docs/operate/mysql.md shows to operators,
and results of members that speak gRPC as MySQL's columns and rows."""

from __future__ import annotations

from juniperreel.mysql.constants import ColumnType
from juniperreel.mysql.values import Column, Value
from juniperreel.pool.result import Result
from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proxy import Failed, Rejected

STOPPING = (1053, "08S01", "Server shutdown in progress")
TOO_MANY = (1040, "08004", "Too many connections")
REFUSED = (1205, "HY000")  # nothing took effect; may be tried again
UNKNOWN_EFFECT = (1105, "HY000")
LATE = (3024, "HY000")
AT_FAULT = (1064, "42000")
BAD_COMMAND = (1047, "08S01")
BAD_TOKEN = (1231, "42000")
BAD_SCHEMA = (1049, "42000")
TOO_LONG = (1153, "08S01")

LATE_WORDS = "no answer came in time; a write may have taken effect"


def refused(answer: Rejected) -> tuple[int, str, str]:
    wait = f"; try again after {answer.retry_after_us / 1000:.0f} ms" if answer.retry_after_us else ""
    return (*REFUSED, f"{answer.reason}, nothing took effect{wait}")


def failed(answer: Failed) -> tuple[int, str, str]:
    return (*UNKNOWN_EFFECT, answer.reason)


TYPES = {
    "integer": ColumnType.LONGLONG,
    "real": ColumnType.DOUBLE,
    "text": ColumnType.VAR_STRING,
    "blob": ColumnType.BLOB,
}


def shown(result: values_pb2.ResultSet) -> tuple[list[Column], list[list[Value]]]:
    """Columns and rows. A column's type is that of its values, text where they differ."""
    rows: list[list[Value]] = []
    kinds: list[set[str]] = [set() for _ in result.columns]
    for row in result.rows:
        values: list[Value] = []
        for at, value in enumerate(row.values):
            kind = value.WhichOneof("kind")
            if kind in (None, "null"):
                values.append(None)
                continue
            kinds[at].add(kind)
            values.append(getattr(value, kind))
        rows.append(values)
    columns = [
        Column(name, TYPES[next(iter(seen))] if len(seen) == 1 else ColumnType.VAR_STRING)
        for name, seen in zip(result.columns, kinds, strict=True)
    ]
    return columns, rows


def packed(value: Value) -> values_pb2.Value:
    """A parameter as members take it."""
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
            return values_pb2.Value(text=str(value))  # an unsigned one beyond what the message holds


def result_set(result: Result) -> values_pb2.ResultSet:
    """A result of a member that speaks MySQL, for clients of gRPC. Raises ProtocolError."""
    out = values_pb2.ResultSet(columns=[c.name for c in result.columns], affected=result.ok.affected)
    for row in result.values():
        out.rows.add(values=[packed(value) for value in row])
    return out
