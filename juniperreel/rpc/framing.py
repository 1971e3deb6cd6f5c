"""Length-prefixed messages (PROTOCOL-HTTP2, "Length-Prefixed-Message"), free of I/O.

Each message is a flag byte, a length of four bytes, and that many bytes; a set flag means that they
are compressed as grpc-encoding says.
"""

from __future__ import annotations

import struct
import zlib

from juniperreel.rpc.status import Code, RpcError

PREFIX = struct.Struct(">BI")  # flag and length
UNCOMPRESSED = 0
COMPRESSED = 1
GZIP_WBITS = 31
GZIP_LEVEL = 1
MIN_COMPRESSED_BYTES = 512  # below, gzip's own header costs more than is gained


def frame_message(message: bytes, compress: bool = False) -> bytes:
    """The message with its prefix; compressed only where that makes it shorter."""
    if compress and len(message) >= MIN_COMPRESSED_BYTES:
        compressed = gzip_compress(message)
        if len(compressed) < len(message):
            return PREFIX.pack(COMPRESSED, len(compressed)) + compressed
    return PREFIX.pack(UNCOMPRESSED, len(message)) + message


def gzip_compress(message: bytes) -> bytes:
    """The message in gzip's format."""
    compressor = zlib.compressobj(GZIP_LEVEL, zlib.DEFLATED, GZIP_WBITS)
    return compressor.compress(message) + compressor.flush()


def gzip_decompress(data: bytes, limit: int) -> bytes:
    """A message of at most `limit` bytes. Raises RpcError.

    Danger: a few bytes may expand to gigabytes; decompression stops at the limit.
    """
    decompressor = zlib.decompressobj(GZIP_WBITS)
    try:
        message = decompressor.decompress(data, limit + 1)
    except zlib.error as error:
        raise RpcError(Code.INTERNAL, f"a message does not unpack: {error}") from None
    if len(message) > limit:
        raise RpcError(Code.RESOURCE_EXHAUSTED, f"a message unpacks to more than {limit} bytes")
    if not decompressor.eof:
        raise RpcError(Code.INTERNAL, "a compressed message is cut short")
    return message


class Deframer:
    """Bytes in, complete messages out. Holds at most one message of `limit` bytes and what follows it."""

    def __init__(self, limit: int, encoding: str | None) -> None:
        """`encoding`: the peer's grpc-encoding."""
        self._limit = limit
        self._encoding = encoding or "identity"
        self._data = bytearray()

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._data += data

    def single_message(self, data: bytes) -> bytes | None:
        """The message if `data` is exactly one, uncompressed, and nothing waits.

        Else None, and `data` was not added. Spares the common case two copies.
        """
        if self._data or len(data) < PREFIX.size or data[0]:
            return None
        size = len(data) - PREFIX.size
        if size > self._limit or PREFIX.unpack_from(data)[1] != size:
            return None
        return data[PREFIX.size :]

    def next_message(self) -> bytes | None:
        """The next complete message, or None until more bytes come.

        Raises RpcError, after which it must not be used again.
        """
        if len(self._data) < PREFIX.size:
            return None
        flag, size = PREFIX.unpack_from(self._data)
        if size > self._limit:
            # Danger: a prefix may announce 4 GB; no memory is reserved for what has not arrived.
            raise RpcError(
                Code.RESOURCE_EXHAUSTED, f"a message of {size} bytes; at most {self._limit} are taken"
            )
        if flag > COMPRESSED:
            raise RpcError(Code.INTERNAL, f"compression flag {flag} is not known")
        end = PREFIX.size + size
        if len(self._data) < end:
            return None
        message = bytes(memoryview(self._data)[PREFIX.size : end])
        del self._data[:end]
        if not flag:
            return message
        if self._encoding != "gzip":
            raise RpcError(Code.INTERNAL, f"a compressed message, while grpc-encoding is {self._encoding!r}")
        return gzip_decompress(message, self._limit)

    @property
    def empty(self) -> bool:
        """Whether no incomplete message waits."""
        return not self._data
