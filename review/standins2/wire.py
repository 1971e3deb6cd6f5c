"""PostgreSQL's messages as the operators' protocol page uses them, and the form of its statements."""

from __future__ import annotations

import os
import re
import struct

READY = b"Z\0\0\0\5I"
STATEMENT = re.compile(
    r"(?:SELECT body FROM objects WHERE oid = '(?P<read>[^']*)'"
    r"|INSERT INTO objects \(oid, body\) VALUES \('(?P<write>[^']*)', '\\x[0-9a-f]*'\) RETURNING body)"
    r" /\* (?P<comment>[^*]*) \*/"
)


def message(kind: bytes, payload: bytes) -> bytes:
    """Return a message."""
    return kind + struct.pack("!I", len(payload) + 4) + payload


def startup_message() -> bytes:
    """Return a client's first message."""
    payload = struct.pack("!I", 196608) + b"user\0worker\0database\0catalog\0\0"
    return struct.pack("!I", len(payload) + 4) + payload


STARTUP_ANSWER = message(b"R", b"\0\0\0\0") + READY


def parameter(name: str, value: str) -> bytes:
    """Return a ParameterStatus."""
    return message(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def row_answer(value: bytes, parameters: dict[str, str]) -> bytes:
    """Return a whole answer with one row of one column."""
    description = b"\0\1body\0" + struct.pack("!IhIhih", 0, 0, 17, -1, -1, 1)
    row = b"\0\1" + struct.pack("!I", len(value)) + value
    rows = message(b"T", description) + message(b"D", row) + message(b"C", b"SELECT 1\0")
    return rows + b"".join(parameter(name, text) for name, text in parameters.items()) + READY


def error_answer(code: str, text: str, parameters: dict[str, str]) -> bytes:
    """Return an error that leaves the connection open."""
    fields = b"SERROR\0VERROR\0C" + code.encode() + b"\0M" + text.encode() + b"\0\0"
    return (
        message(b"E", fields) + b"".join(parameter(name, value) for name, value in parameters.items()) + READY
    )


def parse_statement(text: str) -> dict[str, str] | None:
    """Return the names and values of a statement's comment, and its key as `key`; None if it has no form."""
    found = STATEMENT.fullmatch(text)
    if found is None:
        return None
    fields = dict(part.split("=", 1) for part in found["comment"].split(","))
    fields["key"] = found["read"] or found["write"] or ""
    return fields


def new_id() -> str:
    """Return the id of a new request."""
    return os.urandom(8).hex()


def read_statement(request_id: str, request_class: str, key: str, timeout_ms: int) -> str:
    """Return a read as a client words it."""
    comment = f"id={request_id},c={request_class},t=fastlap,d={timeout_ms},cluster=0"
    return f"SELECT body FROM objects WHERE oid = '{key}' /* {comment} */"


def write_statement(
    request_id: str, request_class: str, key: str, timeout_ms: int, value: bytes = b"\0"
) -> str:
    """Return a write as a client words it, with an idempotency key of its own."""
    comment = f"id={request_id},c={request_class},t=fastlap,d={timeout_ms},k={os.urandom(8).hex()},cluster=0"
    values = f"('{key}', '\\x{value.hex()}')"
    return f"INSERT INTO objects (oid, body) VALUES {values} RETURNING body /* {comment} */"
