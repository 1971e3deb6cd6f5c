"""Judges a peer's habits from frames and times, free of I/O."""

from __future__ import annotations

from juniperreel.rpc.limits import Limits

CONTROL_PER_S = 1000  # SETTINGS, PING and empty DATA frames; each makes work and moves nothing


class Bucket:
    """`rate` a second, and as many at once."""

    def __init__(self, rate: float) -> None:
        self.rate, self.left, self.at_us = rate, rate, 0

    def take(self, now_us: int) -> bool:
        if self.at_us:
            self.left = min(self.rate, self.left + self.rate * max(0, now_us - self.at_us) / 1_000_000)
        self.at_us = now_us
        self.left -= 1
        return self.left >= 0


class Guard:
    """Says when a peer must be told to calm down (RFC 9113, 10.5; gRFC A8 for pings)."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.resets = Bucket(limits.resets_per_s)
        self.control = Bucket(CONTROL_PER_S)
        self.ping_us = 0
        self.strikes = 0

    def reset(self, now_us: int) -> str | None:
        """Danger: streams opened and reset at once cost the peer nothing and us a task each."""
        return None if self.resets.take(now_us) else "too_many_resets"

    def settings(self, now_us: int) -> str | None:
        return None if self.control.take(now_us) else "too_many_control_frames"

    def moved(self) -> None:
        """Headers or data came or went: pings may follow as they like."""
        self.ping_us, self.strikes = 0, 0

    def ping(self, now_us: int) -> str | None:
        if not self.control.take(now_us):
            return "too_many_control_frames"
        early = self.ping_us and now_us - self.ping_us < self.limits.min_ping_us
        self.ping_us = now_us
        if early:
            self.strikes += 1
        return "too_many_pings" if self.strikes >= self.limits.ping_strikes else None
