"""Status codes, their messages and details, as gRPC's HTTP/2 specification has them.

Source: "gRPC over HTTP2" (PROTOCOL-HTTP2), google.rpc.Status for details, gRFC A6 for pushback.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from enum import IntEnum
from urllib.parse import unquote_to_bytes

from google.protobuf.any_pb2 import Any
from google.protobuf.duration_pb2 import Duration
from google.protobuf.message import DecodeError, Message
from google.rpc import error_details_pb2, status_pb2

PUSHBACK = "grpc-retry-pushback-ms"
UNESCAPED = re.compile(r"[ -$&-~]*\Z")  # printable ASCII but for the percent sign


class Code(IntEnum):
    """gRPC's status codes."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


class RpcError(Exception):
    """A call that ends with a status other than OK.

    `details` are google.rpc messages; `metadata` goes into the trailers besides the status.
    """

    def __init__(
        self,
        code: Code,
        message: str = "",
        details: Sequence[Message] = (),
        metadata: Sequence[tuple[str, str | bytes]] = (),
    ) -> None:
        super().__init__(f"{code.name}: {message}")
        self.code = code
        self.message = message
        self.details = tuple(details)
        self.metadata = tuple(metadata)

    def reason(self, domain: str) -> str | None:
        """The reason of its ErrorInfo of this domain, if it has one."""
        for detail in self.details:
            if isinstance(detail, error_details_pb2.ErrorInfo) and detail.domain == domain:
                return str(detail.reason)
        return None

    def retry_after_us(self) -> int | None:
        """The delay of its RetryInfo, if it has one."""
        for detail in self.details:
            if isinstance(detail, error_details_pb2.RetryInfo):
                return int(detail.retry_delay.ToMicroseconds())
        return None


def error_info(reason: str, domain: str, **metadata: str) -> Message:
    """A google.rpc.ErrorInfo."""
    info: Message = error_details_pb2.ErrorInfo(reason=reason, domain=domain, metadata=metadata)
    return info


def retry_info(after_us: int) -> Message:
    """A google.rpc.RetryInfo with a delay in microseconds."""
    delay = Duration()
    delay.FromMicroseconds(after_us)
    info: Message = error_details_pb2.RetryInfo(retry_delay=delay)
    return info


def field_violation(field: str, description: str) -> Message:
    """A google.rpc.BadRequest for one field."""
    violation = error_details_pb2.BadRequest.FieldViolation(field=field, description=description)
    request: Message = error_details_pb2.BadRequest(field_violations=[violation])
    return request


DETAIL_TYPES = {
    kind.DESCRIPTOR.full_name: kind
    for kind in (
        error_details_pb2.ErrorInfo,
        error_details_pb2.RetryInfo,
        error_details_pb2.BadRequest,
        error_details_pb2.QuotaFailure,
        error_details_pb2.DebugInfo,
    )
}


def pack_details(code: Code, message: str, details: Sequence[Message]) -> bytes:
    """The value of grpc-status-details-bin: a google.rpc.Status."""
    status = status_pb2.Status(code=int(code), message=message)
    for detail in details:
        status.details.add().Pack(detail)
    return bytes(status.SerializeToString())


def unpack_details(data: bytes) -> list[Message]:
    """The details of a google.rpc.Status; empty for malformed bytes, and without those of unknown types."""
    status = status_pb2.Status()
    try:
        status.ParseFromString(data)
    except DecodeError:
        return []
    found: list[Message] = []
    for packed in status.details:
        message = unpack(packed)
        if message is not None:
            found.append(message)
    return found


def unpack(packed: Any) -> Message | None:
    """The detail, or None if its type is unknown or its bytes are malformed."""
    kind = DETAIL_TYPES.get(packed.type_url.rpartition("/")[2])
    if kind is None:
        return None
    message: Message = kind()
    try:
        packed.Unpack(message)
    except DecodeError:
        return None
    return message


def encode_message(message: str) -> str:
    """Percent-encoded UTF-8: all but printable ASCII, and the percent sign itself."""
    if UNESCAPED.match(message):
        return message
    return "".join(
        chr(byte) if 0x20 <= byte <= 0x7E and byte != 0x25 else f"%{byte:02X}"
        for byte in message.encode("utf-8", "replace")
    )


def decode_message(text: str) -> str:
    """Never fails: broken encodings come out as they are, as the specification asks."""
    return unquote_to_bytes(text).decode("utf-8", "replace") if "%" in text else text


# What an HTTP status means where no gRPC status came (gRPC: http-grpc-status-mapping).
CODES_OF_HTTP_STATUS = {
    400: Code.INTERNAL,
    401: Code.UNAUTHENTICATED,
    403: Code.PERMISSION_DENIED,
    404: Code.UNIMPLEMENTED,
    429: Code.UNAVAILABLE,
    502: Code.UNAVAILABLE,
    503: Code.UNAVAILABLE,
    504: Code.UNAVAILABLE,
}


def code_of(text: str | None, http_status: str | None) -> Code:
    """The call's status from its trailers and HTTP status; UNKNOWN where they are nonsense."""
    if text is None:
        if http_status is not None and http_status != "200" and http_status.isdigit():
            return CODES_OF_HTTP_STATUS.get(int(http_status[:4]), Code.UNKNOWN)
        return Code.UNKNOWN
    try:
        return Code(int(text[:4]))
    except ValueError:
        return Code.UNKNOWN
