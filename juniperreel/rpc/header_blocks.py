"""Cached encoding and decoding of HPACK header blocks (RFC 7541), on top of the hpack library.

Sent blocks never use the dynamic table, so that each header is encoded once for all connections. A received
block is cached, and not decoded again as long as the peer's dynamic table does not change.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Any

from hpack import Decoder, Encoder, HPACKError, NeverIndexedHeaderTuple, OversizedHeaderListError

from juniperreel.rpc.frames import ErrorCode, Http2Error
from juniperreel.rpc.metadata import Headers

DEFAULT_TABLE_BYTES = 4_096
CACHED_BLOCKS = 512  # per connection; with more distinct blocks, caching does not pay
CACHED_BLOCK_BYTES = 2_048  # longer blocks are not cached

# HPACK's "dynamic table size update" to 0 (RFC 7541, 4.2 and 6.3); our blocks do not use the table.
EMPTY_TABLE_UPDATE = b"\x20"


class HeaderBlock:
    """A decoded header block. Shared by all streams that sent the same bytes, so it must not be modified."""

    __slots__ = ("fields", "headers", "request_length")

    def __init__(self, headers: Headers) -> None:
        """`headers` are in their original order; `fields` has the last value of each name."""
        self.headers = headers
        self.fields = dict(headers)
        self.request_length: int | None = None  # the content-length, once checked as a request


ENCODER = Encoder()  # shared by all connections, as never-indexed headers do not change its state


def encode_uncached_header(name: str, value: str) -> bytes:
    """Encode one header without the dynamic table, so that the bytes are valid in any block."""
    block: bytes = ENCODER.encode([NeverIndexedHeaderTuple(name, value)], huffman=False)
    return block


encode_header = lru_cache(maxsize=4096)(encode_uncached_header)


def encode_headers(headers: Headers) -> bytes:
    """Encode a header block. Headers marked as never indexed are not cached, as their values rarely recur."""
    parts = [
        encode_uncached_header(*header)
        if isinstance(header, NeverIndexedHeaderTuple)
        else encode_header(*header)
        for header in headers
    ]
    return b"".join(parts)


class HeaderBlockDecoder:
    """Decodes the header blocks of one connection, which must be passed in the order of their arrival."""

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes` limits the size of a decoded block."""
        self._decoder = Decoder(max_header_list_size=max_bytes)
        self._decoder.max_allowed_table_size = DEFAULT_TABLE_BYTES
        self._cache: dict[bytes, HeaderBlock] = {}
        # A change of the newest entry or of the size means that a block has changed the table.
        self._newest_entry: object = None
        self._table_size = (0, DEFAULT_TABLE_BYTES)

    def decode(self, data: bytes) -> HeaderBlock:
        """Decode a block. Raises Http2Error.

        The meaning of a block depends on the dynamic table, so a block that changes it clears the cache.
        """
        cached = self._cache.get(data)
        if cached is not None:
            return cached
        try:
            raw: Any = self._decoder.decode(data, raw=True)
        except OversizedHeaderListError:
            raise Http2Error(ErrorCode.ENHANCE_YOUR_CALM, "too many bytes of headers") from None
        except HPACKError as error:
            raise Http2Error(ErrorCode.COMPRESSION_ERROR, f"headers that do not unpack: {error}") from None
        block = HeaderBlock([(str(name, "latin-1"), str(value, "latin-1")) for name, value in raw])
        if self._table_has_changed():
            self._cache.clear()
        elif len(data) <= CACHED_BLOCK_BYTES:
            if len(self._cache) >= CACHED_BLOCKS:
                self._cache.clear()
            self._cache[data] = block
        return block

    def _table_has_changed(self) -> bool:
        table = self._decoder.header_table
        entries = table.dynamic_entries
        newest_entry = entries[0] if entries else None
        table_size = (len(entries), table.maxsize)
        if newest_entry is self._newest_entry and table_size == self._table_size:
            return False
        self._newest_entry = newest_entry
        self._table_size = table_size
        return True
