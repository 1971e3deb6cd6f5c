"""gRPC status codes, messages and details, and their encoding in HTTP/2 trailers.

Sources: "gRPC over HTTP2" (PROTOCOL-HTTP2), google.rpc.Status for details, gRFC A6 for pushback.
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
UNESCAPED = re.compile(r"[ -$&-~]*\Z")  # printable ASCII except the percent sign


class Code(IntEnum):
    """The gRPC status codes."""

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
    """A call ended with a status other than OK.

    `details` are google.rpc messages; `metadata` is sent in the trailers in addition to the status.
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
        """Return the reason of the ErrorInfo detail of this domain, or None."""
        for detail in self.details:
            if isinstance(detail, error_details_pb2.ErrorInfo) and detail.domain == domain:
                return str(detail.reason)
        return None

    def retry_after_us(self) -> int | None:
        """Return the delay of the RetryInfo detail, or None."""
        for detail in self.details:
            if isinstance(detail, error_details_pb2.RetryInfo):
                return int(detail.retry_delay.ToMicroseconds())
        return None


def error_info(reason: str, domain: str, **metadata: str) -> Message:
    """Return a google.rpc.ErrorInfo."""
    info: Message = error_details_pb2.ErrorInfo(reason=reason, domain=domain, metadata=metadata)
    return info


def retry_info(after_us: int) -> Message:
    """Return a google.rpc.RetryInfo with a delay in microseconds."""
    delay = Duration()
    delay.FromMicroseconds(after_us)
    info: Message = error_details_pb2.RetryInfo(retry_delay=delay)
    return info


def field_violation(field: str, description: str) -> Message:
    """Return a google.rpc.BadRequest for one field."""
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
    """Return the value of grpc-status-details-bin: a serialized google.rpc.Status."""
    status = status_pb2.Status(code=int(code), message=message)
    for detail in details:
        status.details.add().Pack(detail)
    return bytes(status.SerializeToString())


def unpack_details(data: bytes) -> list[Message]:
    """Return the details of a google.rpc.Status, without those of unknown types; empty if it is malformed."""
    status = status_pb2.Status()
    try:
        status.ParseFromString(data)
    except DecodeError:
        return []
    found: list[Message] = []
    for packed in status.details:
        message = unpack_detail(packed)
        if message is not None:
            found.append(message)
    return found


def unpack_detail(packed: Any) -> Message | None:
    """Return the detail, or None if its type is unknown or its bytes are malformed."""
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
    """Encode as UTF-8, percent-encoding the percent sign and everything but printable ASCII."""
    if UNESCAPED.match(message):
        return message
    return "".join(
        chr(byte) if 0x20 <= byte <= 0x7E and byte != 0x25 else f"%{byte:02X}"
        for byte in message.encode("utf-8", "replace")
    )


def decode_message(text: str) -> str:
    """Decode a percent-encoded message; never fails, as the specification requires.

    Malformed escapes are kept as they are, and invalid UTF-8 is replaced.
    """
    return unquote_to_bytes(text).decode("utf-8", "replace") if "%" in text else text


# Used if the response has no gRPC status (gRPC's http-grpc-status-mapping).
CODES_BY_HTTP_STATUS = {
    400: Code.INTERNAL,
    401: Code.UNAUTHENTICATED,
    403: Code.PERMISSION_DENIED,
    404: Code.UNIMPLEMENTED,
    429: Code.UNAVAILABLE,
    502: Code.UNAVAILABLE,
    503: Code.UNAVAILABLE,
    504: Code.UNAVAILABLE,
}


def status_code(text: str | None, http_status: str | None) -> Code:
    """Return the call's status from grpc-status and the HTTP status; UNKNOWN if they are malformed."""
    if text is None:
        if http_status is not None and http_status != "200" and http_status.isdigit():
            return CODES_BY_HTTP_STATUS.get(int(http_status[:4]), Code.UNKNOWN)
        return Code.UNKNOWN
    try:
        return Code(int(text[:4]))
    except ValueError:
        return Code.UNKNOWN
