"""Metadata and time-outs in HTTP/2 headers (PROTOCOL-HTTP2, "Requests" and "Custom-Metadata").

Header names and values are text here; values under a name that ends in `-bin` are bytes.
"""

from __future__ import annotations

import base64
import binascii
import re
from collections.abc import Iterable, Sequence
from typing import cast

from hpack import NeverIndexedHeaderTuple

Metadata = Sequence[tuple[str, str | bytes]]
Headers = list[tuple[str, str]]

NAME = re.compile(r"[0-9a-z_.\-]+\Z")
VALUE = re.compile(r"[\x20-\x7e]*\Z")
RESERVED = frozenset({"te", "content-type", "user-agent", "host", "connection"})
UNITS = {"H": 3_600_000_000, "M": 60_000_000, "S": 1_000_000, "m": 1_000, "u": 1, "n": 0.001}
TIMEOUT = re.compile(r"([0-9]{1,8})([HMSmun])\Z")
MAX_TIMEOUT_US = 365 * 24 * 3_600_000_000
DIGITS = 99_999_999


class MetadataError(ValueError):
    """Metadata that the specification does not allow."""


def encode(metadata: Metadata) -> Headers:
    """Raises MetadataError for names and values that have no place in a header."""
    headers: Headers = []
    for name, value in metadata:
        if not NAME.match(name):
            raise MetadataError(f"not a metadata name: {name!r}")
        if name.endswith("-bin"):
            raw = value if isinstance(value, bytes) else value.encode()
            text = base64.b64encode(raw).rstrip(b"=").decode("ascii")
            headers.append(changing(name, text))
        elif isinstance(value, bytes) or not VALUE.match(value):
            raise MetadataError(f"the value of {name!r} is not printable ASCII; use a name ending in -bin")
        else:
            headers.append((name, value.strip(" ")))
    return headers


def changing(name: str, value: str) -> tuple[str, str]:
    """A header whose value hardly comes twice: kept out of HPACK's table, which it would only churn."""
    return cast("tuple[str, str]", NeverIndexedHeaderTuple(name, value))


def decode(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str | bytes]]:
    """The custom metadata among `headers`. Raises MetadataError for broken base64."""
    found: list[tuple[str, str | bytes]] = []
    for name, value in headers:
        if (name.startswith((":", "grpc-")) and name not in KEPT) or name in RESERVED:
            continue
        if name.endswith("-bin"):
            found.extend((name, unbase64(part)) for part in value.split(","))
        else:
            found.append((name, value))
    return found


KEPT = frozenset({"grpc-previous-rpc-attempts", "grpc-retry-pushback-ms", "grpc-trace-bin", "grpc-tags-bin"})


def unbase64(text: str) -> bytes:
    """Base64 with or without its padding."""
    text = text.strip()
    try:
        return base64.b64decode(text + "=" * (-len(text) % 4), validate=True)
    except (binascii.Error, ValueError):
        raise MetadataError("a -bin value is not base64") from None


def encode_timeout(us: int) -> str:
    """The shortest exact form, rounded down so that the peer never waits beyond the caller."""
    us = max(us, 1)
    for unit, span in (("u", 1), ("m", 1_000), ("S", 1_000_000), ("M", 60_000_000), ("H", 3_600_000_000)):
        if us // span <= DIGITS:
            return f"{us // span}{unit}"
    return f"{DIGITS}H"


def decode_timeout(text: str) -> int:
    """Microseconds. Raises MetadataError."""
    match = TIMEOUT.match(text)
    if match is None:
        raise MetadataError(f"not a grpc-timeout: {text[:20]!r}")
    return min(int(int(match[1]) * UNITS[match[2]]), MAX_TIMEOUT_US)
