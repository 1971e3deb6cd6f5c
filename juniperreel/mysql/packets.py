"""Packets, and the basic data types within them.

A packet is a three-byte length, a sequence id, and that many bytes of payload. A longer payload is split into
several packets, of which all but the last have the maximum length.
"""

from __future__ import annotations

from typing import NamedTuple

HEADER_BYTES = 4
MAX_PACKET_PAYLOAD = 0xFFFFFF
SEQUENCE_IDS = 256
COMMUNICATION_ERROR = "08S01"  # SQLSTATE
BAD_HANDSHAKE = 1043
PACKET_TOO_LARGE = 1153
PACKETS_OUT_OF_ORDER = 1156


class ProtocolError(Exception):
    """The peer broke the protocol. `code` and `sqlstate` are those of the ERR packet, if one can be sent."""

    def __init__(self, text: str, code: int = BAD_HANDSHAKE, sqlstate: str = COMMUNICATION_ERROR) -> None:
        super().__init__(text)
        self.code = code
        self.sqlstate = sqlstate


class PacketReader:
    """Splits received bytes into payloads.

    Buffers at most one payload of `limit` bytes and the bytes received after it.
    """

    def __init__(self, limit: int) -> None:
        """`limit` is the maximum size of a payload in bytes; it may be changed later."""
        self.limit = limit
        self.sequence = 0  # of the next packet; restarts at 0 with each command
        self._data = bytearray()
        self._partial_payload = bytearray()  # the payload's packets received so far

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._data += data

    @property
    def buffered_bytes(self) -> int:
        """Received bytes that were not returned as a payload yet."""
        return len(self._data) + len(self._partial_payload)

    def take_remainder(self) -> bytes:
        """Remove and return the bytes after the last packet, which belong to another protocol layer."""
        remainder = bytes(self._data)
        self._data = bytearray()
        return remainder

    def next_payload(self) -> bytes | None:
        """Return the next complete payload, or None if more bytes are needed. Raises ProtocolError."""
        while len(self._data) >= HEADER_BYTES:
            size = int.from_bytes(self._data[:3], "little")
            self._check_header(size, self._data[3])
            end = HEADER_BYTES + size
            if len(self._data) < end:
                return None
            self._partial_payload += memoryview(self._data)[HEADER_BYTES:end]
            del self._data[:end]
            self.sequence = (self.sequence + 1) % SEQUENCE_IDS
            if size < MAX_PACKET_PAYLOAD:
                payload = bytes(self._partial_payload)
                self._partial_payload = bytearray()
                return payload
        return None

    def _check_header(self, size: int, sequence: int) -> None:
        if len(self._partial_payload) + size > self.limit:
            # The announced length is not trusted: no memory is allocated for bytes that have not arrived.
            raise ProtocolError(f"a packet of more than {self.limit} bytes", PACKET_TOO_LARGE)
        if sequence != self.sequence:
            raise ProtocolError(f"packet {sequence} came where {self.sequence} was due", PACKETS_OUT_OF_ORDER)


class EncodedPackets(NamedTuple):
    """A payload's packets, and the sequence id of the next packet."""

    data: bytes
    next_sequence: int


def encode_packets(payload: bytes, sequence: int) -> EncodedPackets:
    """Split a payload into packets. A packet of maximum length is followed by another, which may be empty."""
    data = bytearray()
    rest = memoryview(payload)
    while True:
        part = rest[:MAX_PACKET_PAYLOAD]
        data += len(part).to_bytes(3, "little") + bytes((sequence,))
        data += part
        sequence = (sequence + 1) % SEQUENCE_IDS
        rest = rest[MAX_PACKET_PAYLOAD:]
        if len(part) < MAX_PACKET_PAYLOAD:
            return EncodedPackets(bytes(data), sequence)


# Length-encoded integers: the first byte is the value, or determines how many bytes follow.
MAX_SINGLE_BYTE = 0xFA
LENGTH_SIZES = {0xFC: 2, 0xFD: 3, 0xFE: 8}


class Cursor:
    """Reads values from a payload. All methods raise ProtocolError if the payload is too short."""

    def __init__(self, data: bytes) -> None:
        """Starts at the first byte."""
        self._data = data
        self._position = 0

    @property
    def remaining(self) -> int:
        """The number of bytes that were not read yet."""
        return len(self._data) - self._position

    def peek(self) -> int:
        """Return the next byte without reading it; -1 at the end."""
        return self._data[self._position] if self.remaining else -1

    def take(self, count: int) -> bytes:
        """Read the next `count` bytes."""
        if count > self.remaining:
            raise ProtocolError("a packet ends inside a value")
        self._position += count
        return self._data[self._position - count : self._position]

    def integer(self, size: int) -> int:
        """Read an integer of `size` bytes."""
        return int.from_bytes(self.take(size), "little")

    def nul_terminated(self) -> bytes:
        """Read a NUL-terminated string."""
        end = self._data.find(b"\0", self._position)
        if end < 0:
            raise ProtocolError("a string does not end")
        value = self._data[self._position : end]
        self._position = end + 1
        return value

    def length(self) -> int:
        """Read a length-encoded integer."""
        first = self.integer(1)
        if first <= MAX_SINGLE_BYTE:
            return first
        if first not in LENGTH_SIZES:
            raise ProtocolError(f"{first:#x} begins no length")
        return self.integer(LENGTH_SIZES[first])

    def string(self) -> bytes:
        """Read a length-encoded string."""
        return self.take(self.length())

    def remainder(self) -> bytes:
        """Read all remaining bytes."""
        return self.take(self.remaining)


def encode_length(value: int) -> bytes:
    """Encode a length-encoded integer. Raises ValueError beyond 64 bits."""
    if value <= MAX_SINGLE_BYTE:
        return bytes((value,))
    for first, size in LENGTH_SIZES.items():
        if value < 1 << (8 * size):
            return bytes((first,)) + value.to_bytes(size, "little")
    raise ValueError(f"{value} does not fit in 64 bits")


def encode_string(value: bytes) -> bytes:
    """Encode a length-encoded string."""
    return encode_length(len(value)) + value
