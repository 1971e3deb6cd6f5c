"""The operators' request form: two statements and the comment behind them. Strict: what is not exactly so
is named.

SELECT body FROM objects WHERE oid = 'KEY' /* NAME=VALUE,... */
INSERT INTO objects (oid, body) VALUES ('KEY', '\\xHEX') RETURNING body /* NAME=VALUE,... */
"""

from __future__ import annotations

import re
from dataclasses import dataclass

VALUE_LIMIT = 65_536  # bytes, two hexadecimal digits each
SPAN_LIMIT_MS = 3_600_000  # a client that waits longer is no client
KEY = rb"([0-9A-Za-z_.:@-]{1,128})"
READ = re.compile(rb"SELECT body FROM objects WHERE oid = '" + KEY + rb"' /\* ([^*/]{1,1024}) \*/")
WRITE = re.compile(
    rb"INSERT INTO objects \(oid, body\) VALUES \('" + KEY + rb"', '\\x([0-9a-fA-F]*)'\) RETURNING body "
    rb"/\* ([^*/]{1,1024}) \*/"
)
HEX_ID = re.compile(r"[0-9a-f]{16}")
NAME = re.compile(r"[0-9A-Za-z_.-]{1,64}")
NUMBER = re.compile(r"[0-9]{1,15}")
KNOWN = frozenset(("id", "c", "t", "d", "k", "r", "cluster", "after"))
DEADLINE = re.compile(rb"(?<=[ ,])d=[0-9]+")


class FormError(Exception):
    """Not a request. The words say what is wrong, without the client's bytes."""


@dataclass(slots=True)
class Form:
    """One request as it was worded. `span_ms`: how long the client waits, from its sending."""

    text: bytes
    write: bool
    key: str
    id: str
    cls: str
    tenant: str | None
    span_ms: int
    group: int
    idempotency: str | None
    retry: bool
    after_ms: int | None


def parse(text: bytes) -> Form:
    """Raises FormError."""
    read = READ.fullmatch(text)
    if read is not None:
        key, comment = read.groups()
    else:
        write = WRITE.fullmatch(text)
        if write is None:
            raise FormError("neither of the two statements that are spoken here")
        key, value, comment = write.groups()
        if len(value) % 2 or len(value) > 2 * VALUE_LIMIT:
            raise FormError("the value is no whole number of bytes, or too long")
    try:
        pairs = [part.split("=", 1) for part in comment.decode("ascii").split(",")]
    except UnicodeDecodeError:
        raise FormError("the comment is not ASCII") from None
    if any(len(pair) != 2 for pair in pairs):
        raise FormError("the comment is not names and values")
    values = {pair[0]: pair[1] for pair in pairs}
    if len(values) != len(pairs) or not values.keys() <= KNOWN:
        raise FormError("the comment has a name twice, or one that is not known")
    number, span = values.get("id", ""), values.get("d", "")
    if not HEX_ID.fullmatch(number):
        raise FormError("id is missing or not 16 hexadecimal digits")
    if not NUMBER.fullmatch(span) or not 0 < int(span) <= SPAN_LIMIT_MS:
        raise FormError("d is missing, or no number of milliseconds that a client would wait")
    cls, tenant, group = values.get("c", ""), values.get("t"), values.get("cluster", "0")
    if not NAME.fullmatch(cls) or (tenant is not None and not NAME.fullmatch(tenant)):
        raise FormError("c or t is missing or no name")
    if not NUMBER.fullmatch(group):
        raise FormError("cluster is no number")
    idempotency, after = values.get("k"), values.get("after")
    if idempotency is not None and not HEX_ID.fullmatch(idempotency):
        raise FormError("k is not 16 hexadecimal digits")
    if after is not None and not NUMBER.fullmatch(after):
        raise FormError("after is no time in milliseconds")
    if values.get("r", "1") != "1":
        raise FormError("r is not 1")
    return Form(
        text=text,
        write=read is None,
        key=key.decode("ascii"),
        id=number,
        cls=cls,
        tenant=tenant,
        span_ms=int(span),
        group=int(group),
        idempotency=idempotency,
        retry="r" in values,
        after_ms=None if after is None else int(after),
    )


def with_span(text: bytes, span_ms: int) -> bytes:
    """The statement byte for byte, but for how long is waited."""
    start = text.rindex(b"/*")
    return text[:start] + DEADLINE.sub(b"d=%d" % span_ms, text[start:], count=1)
