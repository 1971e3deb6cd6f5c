r"""The request format of the operators' platform: one of two statements, followed by a comment.

    SELECT body FROM objects WHERE oid = 'KEY' /* NAME=VALUE,... */
    INSERT INTO objects (oid, body) VALUES ('KEY', '\xHEX') RETURNING body /* NAME=VALUE,... */

The parser is strict: any deviation from the format is an error.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from juniperreel.postgres.messages import PostgresError

VALUE_LIMIT = 65_536  # decoded bytes; two hexadecimal digits each
TIMEOUT_LIMIT_MS = 3_600_000  # upper bound on plausible client timeouts
KEY = rb"([0-9A-Za-z_.:@-]{1,128})"
READ = re.compile(rb"SELECT body FROM objects WHERE oid = '" + KEY + rb"' /\* ([^*/]{1,1024}) \*/")
WRITE = re.compile(
    rb"INSERT INTO objects \(oid, body\) VALUES \('" + KEY + rb"', '\\x([0-9a-fA-F]*)'\) RETURNING body "
    rb"/\* ([^*/]{1,1024}) \*/"
)
HEX_ID = re.compile(r"[0-9a-f]{16}")
NAME = re.compile(r"[0-9A-Za-z_.-]{1,64}")
NUMBER = re.compile(r"[0-9]{1,15}")
TIMEOUT = re.compile(rb"(?<=[ ,])d=[0-9]+")

# Field names in the comment.
REQUEST_ID = "id"
CLASS = "c"
TENANT = "t"
TIMEOUT_MS = "d"
IDEMPOTENCY_KEY = "k"
RETRY = "r"
GROUP = "cluster"
LAST_WRITE_MS = "after"
KNOWN_NAMES = frozenset((REQUEST_ID, CLASS, TENANT, TIMEOUT_MS, IDEMPOTENCY_KEY, RETRY, GROUP, LAST_WRITE_MS))


class RequestFormatError(PostgresError):
    """The statement does not match the format. The message never quotes the client's bytes."""


@dataclass(slots=True)
class StatementRequest:
    """A request parsed from its statement and comment.

    `timeout_ms` is the client's timeout, measured from when it sent the request. `last_write_ms` is the time
    of the last write in the client's session, if given.
    """

    text: bytes
    is_write: bool
    key: str
    id: str
    class_name: str
    tenant: str | None
    timeout_ms: int
    group: int
    idempotency_key: str | None
    is_retry: bool
    last_write_ms: int | None


@dataclass(frozen=True, slots=True)
class Statement:
    """The parts of a statement."""

    is_write: bool
    key: bytes
    comment: bytes


def parse_request(text: bytes) -> StatementRequest:
    """Parse a statement and its comment.

    Raises:
        RequestFormatError: the statement does not match the format exactly.
    """
    statement = _parse_statement(text)
    values = _parse_comment(statement.comment)
    _check_values(values)
    last_write = values.get(LAST_WRITE_MS)
    return StatementRequest(
        text=text,
        is_write=statement.is_write,
        key=statement.key.decode("ascii"),
        id=values[REQUEST_ID],
        class_name=values[CLASS],
        tenant=values.get(TENANT),
        timeout_ms=int(values[TIMEOUT_MS]),
        group=int(values.get(GROUP, "0")),
        idempotency_key=values.get(IDEMPOTENCY_KEY),
        is_retry=RETRY in values,
        last_write_ms=None if last_write is None else int(last_write),
    )


def with_timeout(text: bytes, timeout_ms: int) -> bytes:
    """Return the statement with its timeout replaced and all other bytes unchanged."""
    start = text.rindex(b"/*")
    return text[:start] + TIMEOUT.sub(b"d=%d" % timeout_ms, text[start:], count=1)


def _parse_statement(text: bytes) -> Statement:
    read = READ.fullmatch(text)
    if read is not None:
        key, comment = read.groups()
        return Statement(is_write=False, key=key, comment=comment)
    write = WRITE.fullmatch(text)
    if write is None:
        raise RequestFormatError("neither of the two statements that are spoken here")
    key, value, comment = write.groups()
    if len(value) % 2 or len(value) > 2 * VALUE_LIMIT:
        raise RequestFormatError("the value is no whole number of bytes, or too long")
    return Statement(is_write=True, key=key, comment=comment)


def _parse_comment(comment: bytes) -> dict[str, str]:
    try:
        pairs = [part.split("=", 1) for part in comment.decode("ascii").split(",")]
    except UnicodeDecodeError:
        raise RequestFormatError(
            "the comment is not ASCII"
        ) from None  # its message would quote the client's bytes
    if any(len(pair) != 2 for pair in pairs):
        raise RequestFormatError("the comment is not names and values")
    values = {pair[0]: pair[1] for pair in pairs}
    if len(values) != len(pairs) or not values.keys() <= KNOWN_NAMES:
        raise RequestFormatError("the comment has a name twice, or one that is not known")
    return values


def _check_values(values: dict[str, str]) -> None:
    """Check the values of a comment; the order determines which error is reported."""
    if not _matches(HEX_ID, values.get(REQUEST_ID, "")):
        raise RequestFormatError("id is missing or not 16 hexadecimal digits")
    timeout = values.get(TIMEOUT_MS, "")
    if not _matches(NUMBER, timeout) or not 0 < int(timeout) <= TIMEOUT_LIMIT_MS:
        raise RequestFormatError("d is missing, or no number of milliseconds that a client would wait")
    if not _matches(NAME, values.get(CLASS, "")) or not _matches(NAME, values.get(TENANT)):
        raise RequestFormatError("c or t is missing or no name")
    if not _matches(NUMBER, values.get(GROUP)):
        raise RequestFormatError("cluster is no number")
    if not _matches(HEX_ID, values.get(IDEMPOTENCY_KEY)):
        raise RequestFormatError("k is not 16 hexadecimal digits")
    if not _matches(NUMBER, values.get(LAST_WRITE_MS)):
        raise RequestFormatError("after is no time in milliseconds")
    if values.get(RETRY, "1") != "1":
        raise RequestFormatError("r is not 1")


def _matches(pattern: re.Pattern[str], value: str | None) -> bool:
    """Return whether a value is absent or matches the pattern."""
    return value is None or pattern.fullmatch(value) is not None
