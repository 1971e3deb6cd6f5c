"""The limits of one HTTP/2 connection: each is finite and has a name."""

from __future__ import annotations

from dataclasses import dataclass

US_PER_S = 1_000_000


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes, durations in microseconds; a duration of 0 turns its check off."""

    message_bytes: int = 4 << 20  # of one message, decompressed
    metadata_bytes: int = 16 << 10  # of one block of headers
    streams: int = 4096  # open at once, of those that the peer opens
    stream_window: int = 256 << 10
    connection_window: int = 4 << 20
    buffered_bytes: int = 64 << 20  # of messages that were not taken yet, over all streams
    send_buffer: int = 256 << 10  # waiting for the socket, before senders have to wait
    control_buffer: int = 1 << 20  # the same, before a peer that does not read is disconnected
    handshake_us: int = 5_000_000  # until the peer's SETTINGS
    keepalive_us: int = 10_000_000  # of silence, with streams open, before a ping
    keepalive_timeout_us: int = 5_000_000  # for its answer
    min_ping_us: int = 1_000_000  # between the peer's pings when it sends nothing else
    ping_strikes: int = 3
    resets_per_s: int = 500  # streams that the peer opens and resets; as many at once
