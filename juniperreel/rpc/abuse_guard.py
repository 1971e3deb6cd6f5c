"""Limits how often a peer may send frames that cost it nothing and us work. No I/O."""

from __future__ import annotations

from juniperreel.rpc.limits import US_PER_S, Limits

CONTROL_FRAMES_PER_S = 1000  # SETTINGS, PING and empty DATA frames; each makes work and moves nothing

# What the GOAWAY to such a peer says.
TOO_MANY_RESETS = "too_many_resets"
TOO_MANY_CONTROL_FRAMES = "too_many_control_frames"
TOO_MANY_PINGS = "too_many_pings"


class TokenBucket:
    """Allows `rate` events a second, and as many at once."""

    def __init__(self, rate: float) -> None:
        """`rate` in events a second; the bucket begins full."""
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
    """Judges one peer by its frames (RFC 9113, 10.5; gRFC A8 for pings).

    Its methods return what the peer does too often, or None.
    """

    def __init__(self, limits: Limits) -> None:
        """`limits` of the connection."""
        self._limits = limits
        self._resets = TokenBucket(limits.resets_per_s)
        self._control_frames = TokenBucket(CONTROL_FRAMES_PER_S)
        self._last_ping_us = 0  # 0 where headers or data moved since
        self._ping_strikes = 0

    def on_stream_reset(self, now_us: int) -> str | None:
        """Danger: streams opened and reset at once cost the peer nothing, and us a task each."""
        return None if self._resets.take(now_us) else TOO_MANY_RESETS

    def on_control_frame(self, now_us: int) -> str | None:
        """SETTINGS or an empty DATA frame has arrived."""
        return None if self._control_frames.take(now_us) else TOO_MANY_CONTROL_FRAMES

    def on_activity(self) -> None:
        """Headers or data were received or sent, after which pings are no offence."""
        self._last_ping_us = 0
        self._ping_strikes = 0

    def on_ping(self, now_us: int) -> str | None:
        """A PING has arrived."""
        if not self._control_frames.take(now_us):
            return TOO_MANY_CONTROL_FRAMES
        early = self._last_ping_us and now_us - self._last_ping_us < self._limits.min_ping_us
        self._last_ping_us = now_us
        if early:
            self._ping_strikes += 1
        return TOO_MANY_PINGS if self._ping_strikes >= self._limits.ping_strikes else None
