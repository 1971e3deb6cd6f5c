"""Metadata and time-outs in HTTP/2 headers (PROTOCOL-HTTP2, "Requests" and "Custom-Metadata").

Header names and values are `str`; metadata values are `bytes` if the key ends in `-bin`.
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

NAME_PATTERN = re.compile(r"[0-9a-z_.\-]+\Z")
VALUE_PATTERN = re.compile(r"[\x20-\x7e]*\Z")
RESERVED_HEADERS = frozenset({"te", "content-type", "user-agent", "host", "connection"})
# Their prefix is reserved for the protocol, but applications may use them.
APPLICATION_HEADERS = frozenset(
    {"grpc-previous-rpc-attempts", "grpc-retry-pushback-ms", "grpc-trace-bin", "grpc-tags-bin"}
)
TIMEOUT_UNITS_US = {"H": 3_600_000_000, "M": 60_000_000, "S": 1_000_000, "m": 1_000, "u": 1, "n": 0.001}
TIMEOUT_PATTERN = re.compile(r"([0-9]{1,8})([HMSmun])\Z")
MAX_TIMEOUT_US = 365 * 24 * 3_600_000_000
MAX_TIMEOUT_DIGITS = 99_999_999


class MetadataError(ValueError):
    """Metadata or time-out that violates the specification."""


def encode_metadata(metadata: Metadata) -> Headers:
    """Return metadata as headers. Raises MetadataError for invalid keys and values."""
    headers: Headers = []
    for name, value in metadata:
        if not NAME_PATTERN.match(name):
            raise MetadataError(f"not a metadata name: {name!r}")
        if name.endswith("-bin"):
            raw = value if isinstance(value, bytes) else value.encode()
            text = base64.b64encode(raw).rstrip(b"=").decode("ascii")
            headers.append(never_indexed(name, text))
        elif isinstance(value, bytes) or not VALUE_PATTERN.match(value):
            raise MetadataError(f"the value of {name!r} is not printable ASCII; use a name ending in -bin")
        else:
            headers.append((name, value.strip(" ")))
    return headers


def never_indexed(name: str, value: str) -> tuple[str, str]:
    """Mark a header whose value rarely recurs, so that it does not displace others in HPACK's table."""
    return cast("tuple[str, str]", NeverIndexedHeaderTuple(name, value))


def decode_metadata(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str | bytes]]:
    """Return the custom metadata among `headers`. Raises MetadataError for malformed base64."""
    found: list[tuple[str, str | bytes]] = []
    for name, value in headers:
        if is_reserved(name):
            continue
        if name.endswith("-bin"):
            found.extend((name, decode_base64(part)) for part in value.split(","))
        else:
            found.append((name, value))
    return found


def is_reserved(name: str) -> bool:
    """Whether the header belongs to the protocol and is not custom metadata."""
    if name in RESERVED_HEADERS:
        return True
    return name.startswith((":", "grpc-")) and name not in APPLICATION_HEADERS


def decode_base64(text: str) -> bytes:
    """Decode base64 with or without padding. Raises MetadataError."""
    text = text.strip()
    try:
        return base64.b64decode(text + "=" * (-len(text) % 4), validate=True)
    except (binascii.Error, ValueError):
        raise MetadataError("a -bin value is not base64") from None


def encode_timeout(timeout_us: int) -> str:
    """Encode a time-out in the finest unit that fits.

    Rounds down, so that the peer never waits longer than the caller.
    """
    timeout_us = max(timeout_us, 1)
    for unit, span in (("u", 1), ("m", 1_000), ("S", 1_000_000), ("M", 60_000_000), ("H", 3_600_000_000)):
        if timeout_us // span <= MAX_TIMEOUT_DIGITS:
            return f"{timeout_us // span}{unit}"
    return f"{MAX_TIMEOUT_DIGITS}H"


def decode_timeout(text: str) -> int:
    """Decode a time-out to microseconds. Raises MetadataError."""
    match = TIMEOUT_PATTERN.match(text)
    if match is None:
        raise MetadataError(f"not a grpc-timeout: {text[:20]!r}")
    return min(int(int(match[1]) * TIMEOUT_UNITS_US[match[2]]), MAX_TIMEOUT_US)
