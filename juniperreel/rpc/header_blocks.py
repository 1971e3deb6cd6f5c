"""HPACK header blocks, encoded and decoded with as little repeated work as the protocol allows (RFC 7541).

HPACK itself is the hpack library's. Blocks sent never depend on a table, so that each header is encoded once
for all connections; a block that was received before is not decoded again while the peer's table stands.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Any

from hpack import Decoder, Encoder, HPACKError, NeverIndexedHeaderTuple, OversizedHeaderListError

from juniperreel.rpc.frames import ErrorCode, Http2Error
from juniperreel.rpc.metadata import Headers

DEFAULT_TABLE_BYTES = 4_096
CACHED_BLOCKS = 512  # for each connection; more distinct ones mean that they are not worth caching
CACHED_BLOCK_BYTES = 2_048  # longer blocks are not cached

# HPACK's "dynamic table size update" to 0 (RFC 7541, 4.2 and 6.3), which our blocks can do with.
EMPTY_TABLE_UPDATE = b"\x20"


class HeaderBlock:
    """A decoded block of headers; shared by all streams that came with the same bytes, so never changed."""

    __slots__ = ("fields", "headers", "request_length")

    def __init__(self, headers: Headers) -> None:
        """`headers` in their order; `fields` has the last value of each name."""
        self.headers = headers
        self.fields = dict(headers)
        self.request_length: int | None = None  # its content-length, once it was found to be a request's


ENCODER = Encoder()  # headers that are never indexed leave it unchanged, so that all connections may share it


def encode_uncached_header(name: str, value: str) -> bytes:
    """One header, whose bytes mean the same in any block: indexed in the static table, or literal."""
    block: bytes = ENCODER.encode([NeverIndexedHeaderTuple(name, value)], huffman=False)
    return block


encode_header = lru_cache(maxsize=4096)(encode_uncached_header)


def encode_headers(headers: Headers) -> bytes:
    """A block of headers. Those marked as never indexed are not cached, since their values hardly recur."""
    parts = [
        encode_uncached_header(*header)
        if isinstance(header, NeverIndexedHeaderTuple)
        else encode_header(*header)
        for header in headers
    ]
    return b"".join(parts)


class HeaderBlockDecoder:
    """Decodes one connection's blocks, in the order in which they came."""

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes` of a decoded block."""
        self._decoder = Decoder(max_header_list_size=max_bytes)
        self._decoder.max_allowed_table_size = DEFAULT_TABLE_BYTES
        self._cache: dict[bytes, HeaderBlock] = {}
        # The table's newest entry and its size tell whether a block has changed it.
        self._newest_entry: object = None
        self._table_size = (0, DEFAULT_TABLE_BYTES)

    def decode(self, data: bytes) -> HeaderBlock:
        """Decode a block. Raises Http2Error.

        Danger: what bytes mean depends on the table; a block that changes it makes all cached blocks void.
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
