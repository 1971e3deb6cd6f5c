"""The limits of one HTTP/2 connection. Every resource that a peer can use has a finite limit."""

from __future__ import annotations

from dataclasses import dataclass

US_PER_S = 1_000_000


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes, durations in microseconds; a duration of 0 disables its check."""

    message_bytes: int = 4 << 20  # of one message, decompressed
    metadata_bytes: int = 16 << 10  # of one header block
    streams: int = 4096  # concurrent streams that the peer opened
    stream_window: int = 256 << 10
    connection_window: int = 4 << 20
    buffered_bytes: int = 64 << 20  # of received messages that were not consumed yet, over all streams
    send_buffer: int = 256 << 10  # unsent bytes at which senders have to wait
    control_buffer: int = 1 << 20  # unsent bytes beyond `send_buffer` at which the peer is disconnected
    handshake_us: int = 5_000_000  # time-out for the peer's SETTINGS
    keepalive_us: int = 10_000_000  # without received bytes, while streams are open, before a ping is sent
    keepalive_timeout_us: int = 5_000_000  # time-out for the ping's acknowledgement
    min_ping_us: int = 1_000_000  # minimum interval of the peer's pings while no headers or data are sent
    ping_strikes: int = 3  # pings sent too early before the connection is closed
    resets_per_s: int = 500  # streams that the peer resets; also the burst size
