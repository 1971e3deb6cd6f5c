"""Validation of the headers of requests, responses and trailers (RFC 9113, 8.2 and 8.3).

All checks raise Http2Error with PROTOCOL_ERROR.
"""

from __future__ import annotations

from juniperreel.rpc.frames import ErrorCode, Http2Error
from juniperreel.rpc.header_blocks import HeaderBlock

CONNECTION_HEADERS = frozenset(
    {"connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade"}
)
REQUEST_PSEUDO_HEADERS = frozenset({":method", ":scheme", ":path", ":authority", ":protocol"})
NO_CONTENT_LENGTH = -1
MAX_LENGTH_DIGITS = 18  # digits of a content-length that are parsed


def check_fields(block: HeaderBlock) -> int:
    """Check the rules for any block; returns its content-length, or NO_CONTENT_LENGTH."""
    regular = False
    for name, value in block.headers:
        if name[:1] == ":":
            if regular:
                raise protocol_error("a pseudo-header behind the others")
        else:
            regular = True
            check_regular_field(name, value)
        if value[:1] in (" ", "\t") or value[-1:] in (" ", "\t"):
            raise protocol_error("a header's value has blanks around it")
    length = block.fields.get("content-length")
    if length is None:
        return NO_CONTENT_LENGTH
    if not (length.isascii() and length.isdigit()):
        raise protocol_error("content-length is no number")
    return int(length[:MAX_LENGTH_DIGITS])


def check_regular_field(name: str, value: str) -> None:
    """Check a header that is not a pseudo-header."""
    if not name or name != name.lower():
        raise protocol_error("a header's name is empty or not in lower case")
    if name in CONNECTION_HEADERS or (name == "te" and value.lower() != "trailers"):
        raise protocol_error(f"{name} has no place in HTTP/2")


def check_request(block: HeaderBlock) -> int:
    """Check a request; returns its content-length, or NO_CONTENT_LENGTH."""
    length = check_fields(block)
    fields = block.fields
    pseudo = pseudo_headers(block)
    if len(set(pseudo)) != len(pseudo) or not REQUEST_PSEUDO_HEADERS.issuperset(pseudo):
        raise protocol_error("pseudo-headers that are unknown or come twice")
    if not fields.get(":method") or not fields.get(":scheme") or not fields.get(":path"):
        raise protocol_error("a request without its method, scheme or path")
    if ":authority" not in fields and "host" not in fields:
        raise protocol_error("a request without authority or host")
    return length


def check_response(block: HeaderBlock) -> str:
    """Check a response; returns its status."""
    check_fields(block)
    status = block.fields.get(":status", "")
    is_number = len(status) == 3 and status.isascii() and status.isdigit()
    if pseudo_headers(block) != [":status"] or not is_number:
        raise protocol_error("a response without its status")
    return status


def check_trailers(block: HeaderBlock) -> None:
    """Check trailers."""
    check_fields(block)
    if any(name.startswith(":") for name in block.fields):
        raise protocol_error("a pseudo-header among the trailers")


def pseudo_headers(block: HeaderBlock) -> list[str]:
    """Return the names that begin with a colon, in their order."""
    return [name for name, _ in block.headers if name[:1] == ":"]


def protocol_error(text: str) -> Http2Error:
    """Return the error for a malformed block."""
    return Http2Error(ErrorCode.PROTOCOL_ERROR, text)
