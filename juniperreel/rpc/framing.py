"""Length-prefixed messages (PROTOCOL-HTTP2, "Length-Prefixed-Message"). No I/O.

Each message is a flag byte, a four-byte length, and that many bytes; if the flag is set, they are compressed
with the algorithm that grpc-encoding names.
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
MIN_COMPRESSED_BYTES = 512  # for smaller messages, gzip's header outweighs the saving


def frame_message(message: bytes, compress: bool = False) -> bytes:
    """Return the message with its prefix; compressed only if that makes it shorter."""
    if compress and len(message) >= MIN_COMPRESSED_BYTES:
        compressed = gzip_compress(message)
        if len(compressed) < len(message):
            return PREFIX.pack(COMPRESSED, len(compressed)) + compressed
    return PREFIX.pack(UNCOMPRESSED, len(message)) + message


def gzip_compress(message: bytes) -> bytes:
    """Return the message in gzip format."""
    compressor = zlib.compressobj(GZIP_LEVEL, zlib.DEFLATED, GZIP_WBITS)
    return compressor.compress(message) + compressor.flush()


def gzip_decompress(data: bytes, limit: int) -> bytes:
    """Decompress a message of at most `limit` bytes. Raises RpcError.

    Decompression stops at the limit, because a few bytes may expand to gigabytes.
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
    """Splits received bytes into messages.

    Buffers at most one message of `limit` bytes and the bytes received after it.
    """

    def __init__(self, limit: int, encoding: str | None) -> None:
        """`encoding` is the peer's grpc-encoding."""
        self._limit = limit
        self._encoding = encoding or "identity"
        self._data = bytearray()

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._data += data

    def single_message(self, data: bytes) -> bytes | None:
        """Return the message if `data` is exactly one uncompressed message and the buffer is empty.

        Otherwise return None, without buffering `data`. Avoids two copies in the common case.
        """
        if self._data or len(data) < PREFIX.size or data[0]:
            return None
        size = len(data) - PREFIX.size
        if size > self._limit or PREFIX.unpack_from(data)[1] != size:
            return None
        return data[PREFIX.size :]

    def next_message(self) -> bytes | None:
        """Return the next complete message, or None if more bytes are needed.

        Raises RpcError, after which the deframer must not be used.
        """
        if len(self._data) < PREFIX.size:
            return None
        flag, size = PREFIX.unpack_from(self._data)
        if size > self._limit:
            # A prefix may announce up to 4 GB, so no memory is allocated for bytes that have not arrived.
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
        """Whether no bytes are buffered."""
        return not self._data
