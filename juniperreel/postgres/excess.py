"""Messages that are received beyond what may be kept: counted, and dropped.

Reading on is the only way to learn that the peer has closed the connection: its end of stream lies behind
everything that it has sent.
"""

from __future__ import annotations

import struct

HEADER = struct.Struct("!cI")


class ExcessMessages:
    """The part of a stream that follows the last message to be kept.

    Counts whole messages of one kind. Anything else ends the count and is left to be parsed in its turn.
    """

    __slots__ = ("_missing", "byte_count", "count", "header", "kind", "limit", "size", "unparsed")

    def __init__(self, kind: bytes, limit: int) -> None:
        """Count messages of `kind` whose length field is at most `limit`."""
        self.kind = kind
        self.limit = limit
        self.byte_count = 0  # received, and not taken
        self.count = 0  # of whole messages that were not taken
        self.header = bytearray()  # of the next message, incomplete
        self.size = 0  # of the message that is being received, once its header is complete
        self._missing = 0  # bytes of it
        self.unparsed = b""  # the header of a message that is not counted

    @property
    def received(self) -> int:
        """Number of bytes received of the message whose header is complete."""
        return self.size - self._missing

    def receive_data(self, data: bytes) -> None:
        """Count the messages, and drop the bytes."""
        self.byte_count += len(data)
        position = 0
        while position < len(data) and not self.unparsed:
            position = self._skip(data, position) if self.size else self._read_header(data, position)

    def _skip(self, data: bytes, position: int) -> int:
        skipped = min(self._missing, len(data) - position)
        self._missing -= skipped
        self._count_if_complete()
        return position + skipped

    def _read_header(self, data: bytes, position: int) -> int:
        end = position + HEADER.size - len(self.header)
        self.header += data[position:end]
        if len(self.header) < HEADER.size:
            return len(data)
        kind, length = HEADER.unpack(self.header)
        if kind != self.kind or not HEADER.size - 1 <= length <= self.limit:
            self.unparsed = bytes(self.header)
            return len(data)
        self.header.clear()
        self.size = 1 + length
        self._missing = self.size - HEADER.size
        self._count_if_complete()
        return end

    def _count_if_complete(self) -> None:
        if not self._missing:
            self.size = 0
            self.count += 1

    def take(self) -> None:
        """Take one of the counted messages; the bytes are divided evenly between all."""
        self.byte_count -= self.byte_count // (self.count + 1)
        self.count -= 1
