"""Limits the rate of frames that are cheap for a peer to send and expensive to process. No I/O."""

from __future__ import annotations

from juniperreel.rpc.limits import US_PER_S, Limits

CONTROL_FRAMES_PER_S = 1000  # SETTINGS, PING and empty DATA frames, which carry no data but cost work

# Debug data of the GOAWAY.
TOO_MANY_RESETS = "too_many_resets"
TOO_MANY_CONTROL_FRAMES = "too_many_control_frames"
TOO_MANY_PINGS = "too_many_pings"


class TokenBucket:
    """Allows `rate` events per second, with bursts of the same number."""

    def __init__(self, rate: float) -> None:
        """`rate` is in events per second; the bucket is initially full."""
        self._rate = rate
        self._tokens = rate
        self._refilled_us = 0  # 0 until the first event

    def take(self, now_us: int) -> bool:
        """Count an event; returns whether it was allowed."""
        if self._refilled_us:
            elapsed_us = max(0, now_us - self._refilled_us)
            self._tokens = min(self._rate, self._tokens + self._rate * elapsed_us / US_PER_S)
        self._refilled_us = now_us
        self._tokens -= 1
        return self._tokens >= 0


class AbuseGuard:
    """Detects abuse by one peer (RFC 9113, 10.5; gRFC A8 for pings).

    The methods return which limit the peer exceeded, or None.
    """

    def __init__(self, limits: Limits) -> None:
        """`limits` are those of the connection."""
        self._limits = limits
        self._resets = TokenBucket(limits.resets_per_s)
        self._control_frames = TokenBucket(CONTROL_FRAMES_PER_S)
        self._last_ping_us = 0  # 0 if headers or data were sent or received since
        self._ping_strikes = 0

    def on_stream_reset(self, now_us: int) -> str | None:
        """Record a RST_STREAM.

        Streams that are opened and reset immediately cost the peer almost nothing, and us a task each.
        """
        return None if self._resets.take(now_us) else TOO_MANY_RESETS

    def on_control_frame(self, now_us: int) -> str | None:
        """Record a SETTINGS or an empty DATA frame."""
        return None if self._control_frames.take(now_us) else TOO_MANY_CONTROL_FRAMES

    def on_activity(self) -> None:
        """Record that headers or data were received or sent, after which a ping is allowed again."""
        self._last_ping_us = 0
        self._ping_strikes = 0

    def on_ping(self, now_us: int) -> str | None:
        """Record a PING."""
        if not self._control_frames.take(now_us):
            return TOO_MANY_CONTROL_FRAMES
        early = self._last_ping_us and now_us - self._last_ping_us < self._limits.min_ping_us
        self._last_ping_us = now_us
        if early:
            self._ping_strikes += 1
        return TOO_MANY_PINGS if self._ping_strikes >= self._limits.ping_strikes else None
