"""Detects an unresponsive peer: one that does not send SETTINGS in time, or acknowledge a PING (gRFC A8)."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

from juniperreel.net import Clock
from juniperreel.rpc.limits import US_PER_S, Limits

PING_DATA = b"juniperr"
CHECKS_PER_INTERVAL = 4


class Keepalive:
    """Sends pings while streams are open and nothing is received; aborts if they are not acknowledged."""

    def __init__(
        self,
        limits: Limits,
        clock: Clock,
        has_streams: Callable[[], bool],
        send_ping: Callable[[bytes], None],
        abort: Callable[[str], None],
    ) -> None:
        """`abort` closes the connection with a reason."""
        self.last_received_us = clock.now_us()
        self._limits = limits
        self._clock = clock
        self._has_streams = has_streams
        self._send_ping = send_ping
        self._abort = abort
        self._ping_sent_us = 0  # 0 if no ping is unacknowledged

    def on_received(self) -> None:
        """Record that bytes were received."""
        self.last_received_us = self._clock.now_us()

    def on_ping_ack(self) -> None:
        """Record that the ping was acknowledged."""
        self._ping_sent_us = 0

    async def run(self, settings_received: trio.Event) -> None:
        """Monitor the peer until cancelled or the connection is aborted."""
        handshake_us = self._limits.handshake_us
        with trio.move_on_after(handshake_us / US_PER_S if handshake_us else math.inf):
            await settings_received.wait()
        if not settings_received.is_set():
            self._abort("the peer sent no SETTINGS")
            return
        if not self._limits.keepalive_us:
            return
        while True:
            await trio.sleep(self._limits.keepalive_us / (CHECKS_PER_INTERVAL * US_PER_S))
            self._check(self._clock.now_us())

    def _check(self, now_us: int) -> None:
        if self._ping_sent_us:
            silence_us = now_us - max(self._ping_sent_us, self.last_received_us)
            if silence_us > self._limits.keepalive_timeout_us:
                self._abort("the peer does not answer pings")
        elif self._has_streams() and now_us - self.last_received_us > self._limits.keepalive_us:
            self._ping_sent_us = now_us
            self._send_ping(PING_DATA)
